use crate::journal::journal_core::{Journal, RequestKind};
use crate::journal::{JournalEvent, StoreRequest};

/// Numbers of the last ownership checks that were requested, covered by the outstanding request, and confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OwnershipChecks {
    pub(super) requested: u64,
    pub(super) covered: u64,
    pub(super) confirmed: u64,
}

impl OwnershipChecks {
    /// Confirms the checks that the outstanding request covers. Returns an event if any of them is new.
    pub(super) fn confirm(&mut self) -> Option<JournalEvent> {
        let newer = self.covered > self.confirmed;
        self.confirmed = self.confirmed.max(self.covered);
        newer.then_some(JournalEvent::OwnershipConfirmed {
            up_to: self.confirmed,
        })
    }
}

impl Journal {
    /// Requests a check that this owner still owns the shard. Returns its number, which
    /// [`JournalEvent::OwnershipConfirmed`] reports once the store confirmed it.
    pub fn request_ownership_check(&mut self) -> u64 {
        self.ownership_checks.requested += 1;
        self.ownership_checks.requested
    }

    pub(super) fn read_head(&mut self) -> StoreRequest {
        self.outstanding = Some(RequestKind::Read);
        self.ownership_checks.covered = self.ownership_checks.requested;
        let key = self.keys.head();
        StoreRequest::ReadHead { key }
    }
}
