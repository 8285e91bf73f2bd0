use crate::journal::JournalEvent;

/// Counts of checks whether the owner still owns the shard.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Checks {
    pub(super) requested: u64,
    pub(super) covered: u64,
    pub(super) confirmed: u64,
}

impl Checks {
    /// Takes the success of the outstanding call; returns the event if it confirms a check.
    pub(super) fn confirm(&mut self) -> Option<JournalEvent> {
        let newer = self.covered > self.confirmed;
        self.confirmed = self.confirmed.max(self.covered);
        newer.then_some(JournalEvent::OwnershipConfirmed {
            up_to: self.confirmed,
        })
    }
}
