use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::{DispatchLimits, Dispatcher, Effect, StartRequest};

/// Time within which an owner may act on the last confirmation of its ownership by the store. An owner that is paused or
/// partitioned can't learn of a later one, so the age of the confirmation bounds what it may start and renew.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ownership {
    /// When the request that was last confirmed was sent.
    confirmed_at: Timestamp,
    /// Whether a later owner is known to exist.
    is_superseded: bool,
}

impl Ownership {
    fn confirm(&mut self, sent_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    fn is_confirmed_within(&self, time: Millis, now: Timestamp) -> bool {
        !self.is_superseded && now <= self.confirmed_at.after(time)
    }

    /// Returns true if tasks may be started.
    pub(super) fn may_start(&self, limits: &DispatchLimits, now: Timestamp) -> bool {
        self.is_confirmed_within(limits.owner_lease, now)
    }

    /// Returns true if leases of runs may be renewed.
    pub(super) fn may_renew(&self, limits: &DispatchLimits, now: Timestamp) -> bool {
        self.is_confirmed_within(limits.lease_renewal_window, now)
    }
}

impl<S> Dispatcher<S> {
    /// Records that the store has confirmed the ownership in response to a request sent at `sent_at`.
    pub fn confirm_ownership(&mut self, sent_at: Timestamp) {
        self.core.ownership.confirm(sent_at);
    }

    /// Records that a later owner exists. Nothing is started or renewed any more.
    pub fn fenced(&mut self) {
        self.core.step_down();
    }

    /// Returns true if a request to start may be sent now. It may have been decided some time ago, for an incarnation of the
    /// executor that has been replaced since.
    pub fn may_send(&self, req: &StartRequest, now: Timestamp) -> bool {
        let executor = self.core.fleet.get(req.slot);
        self.core.ownership.may_start(&self.core.limits, now)
            && executor.incarnation() == req.incarnation
    }

    /// Returns when the request that last confirmed the ownership was sent.
    pub fn last_confirmed(&self) -> Timestamp {
        self.core.ownership.confirmed_at
    }
}

impl super::core::Core {
    pub(super) fn step_down(&mut self) {
        self.ownership.is_superseded = true;
        self.effects.push(Effect::StepDown);
    }
}
