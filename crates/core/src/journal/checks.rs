use crate::journal::journal_core::{Call, Journal};
use crate::journal::{JournalEvent, StoreRequest};

/// Counts of checks whether the owner still owns the shard.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OwnershipChecks {
    pub(super) requested: u64,
    pub(super) covered: u64,
    pub(super) confirmed: u64,
}

impl OwnershipChecks {
    /// Takes the success of the outstanding call; returns the event if it confirms a check.
    pub(super) fn confirm(&mut self) -> Option<JournalEvent> {
        let newer = self.covered > self.confirmed;
        self.confirmed = self.confirmed.max(self.covered);
        newer.then_some(JournalEvent::OwnershipConfirmed {
            up_to: self.confirmed,
        })
    }
}

impl Journal {
    /// Asks the store whether this owner still owns the shard. The number is confirmed by `OwnershipConfirmed`.
    pub fn request_ownership_check(&mut self) -> u64 {
        self.checks.requested += 1;
        self.checks.requested
    }

    pub(super) fn read_head(&mut self) -> StoreRequest {
        self.outstanding = Some(Call::Read);
        self.checks.covered = self.checks.requested;
        let key = self.keys.head();
        StoreRequest::ReadHead { key }
    }
}
