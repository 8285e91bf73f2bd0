use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::{DispatchLimits, Dispatcher, Effect};

/// How long an owner may act on what the store last confirmed of its ownership. It can't hear of a later owner while it is
/// paused or cut off, so the time of the confirmation bounds what it orders.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ownership {
    /// When the last confirmation was asked for.
    confirmed_at: Timestamp,
    /// A later owner exists.
    is_superseded: bool,
}

impl Ownership {
    fn confirm(&mut self, sent_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    fn is_confirmed_within(&self, time: Millis, now: Timestamp) -> bool {
        !self.is_superseded && now <= self.confirmed_at.after(time)
    }

    /// Tells whether tasks may be started.
    pub(super) fn may_start(&self, limits: &DispatchLimits, now: Timestamp) -> bool {
        self.is_confirmed_within(limits.owner_lease, now)
    }

    /// Tells whether leases of runs may be renewed.
    pub(super) fn may_renew(&self, limits: &DispatchLimits, now: Timestamp) -> bool {
        self.is_confirmed_within(limits.lease_renewal_window, now)
    }
}

impl<S> Dispatcher<S> {
    /// Notes that the store has confirmed the ownership in answer to a call that was sent at `asked`.
    pub fn confirm_ownership(&mut self, sent_at: Timestamp) {
        self.core.ownership.confirm(sent_at);
    }

    /// Notes that a later owner exists. Nothing is started or renewed any more.
    pub fn fenced(&mut self) {
        self.core.step_down();
    }

    /// Tells whether an order to start may be sent now. It may have been decided a while ago.
    pub fn may_start(&self, now: Timestamp) -> bool {
        self.core.ownership.may_start(&self.core.limits, now)
    }

    /// Returns when the last confirmation of the ownership was asked for.
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
