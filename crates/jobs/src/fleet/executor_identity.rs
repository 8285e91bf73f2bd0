use lagoon_core::unit::Timestamp;

use crate::fleet::IdentityChange;
use crate::id::Incarnation;

/// Incarnation of an executor that the owner counts on, with the evidence for it.
///
/// An answer comes from the process itself, so that of two answers the one to the later request shows which incarnation runs. Their numbers
/// do not: they are times of day, and a later incarnation has a lower one if the clock was put back. A registry entry describes the
/// incarnation that it names: it may be the entry of an earlier one while the executor can't reach the registry, so what it says
/// holds for no other incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExecutorIdentity {
    current: Option<Incarnation>,
    /// Incarnation that the registry entry describes.
    described: Option<Incarnation>,
    /// When the current incarnation became known.
    known_since: Timestamp,
    /// When the last request that the current incarnation has answered with its list was sent. It was running after that.
    asked_at: Timestamp,
    /// When the current incarnation was last named, by an entry that was read or an answer that arrived.
    named_at: Timestamp,
    /// When the last list of the current incarnation arrived.
    listed_at: Option<Timestamp>,
    /// When a new entry with a lower number was read, unless the executor has answered a later request.
    doubted_at: Option<Timestamp>,
}

impl ExecutorIdentity {
    /// Returns the current incarnation; `None` if none was named yet.
    pub fn current(&self) -> Option<Incarnation> {
        self.current
    }

    /// Returns when the last list arrived; `None` if there was none from the current incarnation.
    pub fn listed_at(&self) -> Option<Timestamp> {
        self.listed_at
    }

    /// Returns when the current incarnation became known.
    pub fn known_since(&self) -> Timestamp {
        self.known_since
    }

    /// Returns when the last request that the current incarnation has answered was sent. A process to which a connection was
    /// established before, and still is, is that incarnation: any other has ended.
    pub fn asked_at(&self) -> Timestamp {
        self.asked_at
    }

    /// Returns true if the executor has to be asked for its list, because its entry suggests that it has restarted.
    pub fn is_doubted(&self) -> bool {
        self.doubted_at.is_some()
    }

    /// Returns true if the registry entry describes the current incarnation. Otherwise its kind, rack and capacity are not known.
    pub fn is_described(&self) -> bool {
        self.described == self.current
    }

    /// Takes in the incarnation that a registry entry names.
    pub(crate) fn describe(
        &mut self,
        incarnation: Option<Incarnation>,
        now: Timestamp,
    ) -> IdentityChange {
        let described = std::mem::replace(&mut self.described, incarnation);
        // An entry that was read before says nothing new, and may be older than an answer since.
        let is_new = incarnation.is_some() && incarnation != described;
        if !is_new || incarnation == self.current {
            return IdentityChange::Unchanged;
        }
        if incarnation < self.current {
            self.doubted_at = Some(now);
            return IdentityChange::Unchanged;
        }
        self.name(incarnation, now)
    }

    /// Takes in the incarnation that has answered a request that was sent at `sent_at`.
    pub(crate) fn answer(
        &mut self,
        incarnation: Option<Incarnation>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> IdentityChange {
        let change = if incarnation == self.current {
            self.named_at = now;
            IdentityChange::Unchanged
        } else if incarnation.is_some() && sent_at >= self.named_at {
            self.name(incarnation, now)
        } else {
            return IdentityChange::Outdated;
        };
        self.asked_at = self.asked_at.max(sent_at);
        self.doubted_at = self.doubted_at.filter(|at| sent_at < *at);
        change
    }

    /// Records the arrival of a list of the current incarnation.
    pub(crate) fn record_list(&mut self, now: Timestamp) {
        self.listed_at = Some(now);
    }

    /// Drops the lists, because the process may have restarted since.
    pub(crate) fn doubt(&mut self) {
        self.listed_at = None;
    }

    fn name(&mut self, incarnation: Option<Incarnation>, now: Timestamp) -> IdentityChange {
        let earlier = std::mem::replace(&mut self.current, incarnation);
        self.known_since = now;
        self.named_at = now;
        self.asked_at = Timestamp::default();
        match earlier {
            None => IdentityChange::First,
            Some(earlier) => {
                self.listed_at = None;
                IdentityChange::Restarted { earlier }
            }
        }
    }
}
