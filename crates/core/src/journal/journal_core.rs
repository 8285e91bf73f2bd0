use std::collections::VecDeque;
use std::sync::Arc;

use crate::code::{Refusal, ResultCode};
use crate::id::ShardId;
use crate::journal::checks::OwnershipChecks;
use crate::journal::group::entry_bytes;
use crate::journal::proposal::{Proposal, Staged};
use crate::journal::{
    Head, JournalEntry, JournalEvent, JournalKeys, JournalLimits, JournalState, Position,
    StoreRequest, StoreVersion,
};
use crate::unit::{Bytes, Timestamp};

/// Kind of the outstanding call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    Put,
    Swap,
    Read,
    Delete,
}

/// Group commit of one owner: at most one call to the store is outstanding, and each commit takes all that waits.
///
/// Nothing counts as durable before a head that holds it was confirmed by the store.
#[derive(Debug)]
pub struct Journal {
    pub(super) shard: ShardId,
    pub(super) keys: JournalKeys,
    pub(super) limits: JournalLimits,
    pub(super) head: Arc<Head>,
    pub(super) version: StoreVersion,
    pub(super) tail_bytes: u64,
    pub(super) state: JournalState,
    pub(super) pending: VecDeque<(JournalEntry, u64)>,
    pub(super) pending_bytes: u64,
    pub(super) committed: u64,
    pub(super) staged: Option<Staged>,
    pub(super) proposal: Option<Proposal>,
    pub(super) outstanding: Option<Call>,
    pub(super) read_needed: bool,
    pub(super) snapshot_wanted: bool,
    // Sizes of the last snapshot and of the segments behind it, as far as this owner wrote them.
    pub(super) snapshot_bytes: u64,
    pub(super) segment_bytes: u64,
    pub(super) unreferenced: Vec<String>,
    // Set by each commit, so that deletions take turns with commits and neither starves the other.
    pub(super) delete_due: bool,
    pub(super) deleting: Vec<String>,
    pub(super) latest: Timestamp,
    pub(super) blocked_until: Timestamp,
    pub(super) stopped: bool,
    /// Checks of the ownership: requested, covered by the outstanding call, and confirmed.
    pub(super) checks: OwnershipChecks,
}

impl Journal {
    /// Starts with the claimed head and the state that the replay built from it.
    pub fn new(
        shard: ShardId,
        head: Head,
        version: StoreVersion,
        state: JournalState,
        limits: JournalLimits,
    ) -> Self {
        Self {
            keys: JournalKeys::new(&shard),
            shard,
            limits,
            tail_bytes: head.tail.iter().map(entry_bytes).sum(),
            head: Arc::new(head),
            version,
            state,
            pending: VecDeque::new(),
            pending_bytes: 0,
            committed: 0,
            staged: None,
            proposal: None,
            outstanding: None,
            read_needed: false,
            snapshot_wanted: false,
            snapshot_bytes: 0,
            segment_bytes: 0,
            unreferenced: Vec::new(),
            delete_due: false,
            deleting: Vec::new(),
            latest: Timestamp::default(),
            blocked_until: Timestamp::default(),
            stopped: false,
            checks: OwnershipChecks::default(),
        }
    }

    /// Adds an entry to the next commit; refused with `BodyTooLarge` if no segment could hold it.
    pub fn append(&mut self, entry: JournalEntry) -> Result<Position, Refusal> {
        let bytes = entry_bytes(&entry);
        let limit = self.limits.entry();
        if bytes > limit.get() {
            let size = Bytes::new(bytes);
            let text = format!("the journal entry takes {size}, the limit is {limit}");
            return Err(Refusal::new(ResultCode::BodyTooLarge, text));
        }
        self.pending.push_back((entry, bytes));
        self.pending_bytes += bytes;
        Ok(Position::new(self.committed + self.pending.len() as u64))
    }

    /// Returns the number of entries that are not durable yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the position of the last durable entry.
    pub fn committed_up_to(&self) -> Position {
        Position::new(self.committed)
    }

    /// Returns the position of the last entry that was sent to the store and may take effect even if this owner never
    /// hears of it. Entries behind it certainly never do once the ownership is lost.
    pub fn possibly_written_up_to(&self) -> Position {
        let sent = self.proposal.as_ref().filter(|proposal| {
            proposal.in_doubt || self.outstanding == Some(Call::Swap) || self.read_needed
        });
        Position::new(self.committed + sent.map_or(0, |proposal| proposal.entries as u64))
    }

    /// Returns the durable state.
    pub fn state(&self) -> &JournalState {
        &self.state
    }

    /// Returns the last head known to be in the store.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the version of that head.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Tells whether nothing waits to be written and no call is outstanding, so that the head in the store is `head`.
    pub fn is_idle(&self) -> bool {
        let unsent = self.pending.is_empty() && self.staged.is_none() && self.proposal.is_none();
        unsent && self.outstanding.is_none() && !self.read_needed
    }

    /// Returns the last head known to be in the store, with its version.
    pub fn stored_head(&self) -> (Arc<Head>, StoreVersion) {
        (self.head.clone(), self.version)
    }

    /// Tells whether the ownership was lost or the head was found invalid.
    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Writes a snapshot with the next commit.
    pub fn begin_snapshot(&mut self) {
        self.snapshot_wanted = true;
    }

    /// Returns the next call to make, `None` while one is outstanding or nothing is to be done.
    pub fn next_request(&mut self, now: Timestamp) -> Option<StoreRequest> {
        self.latest = self.latest.max(now);
        if self.stopped || self.outstanding.is_some() || now < self.blocked_until {
            return None;
        }
        if self.read_needed {
            return Some(self.read_head());
        }
        if self.proposal.is_none() {
            if self.delete_due && !self.unreferenced.is_empty() {
                return Some(self.delete());
            }
            self.stage();
            if let Some(write) = self.next_part() {
                self.outstanding = Some(Call::Put);
                return Some(write);
            }
            self.propose();
        }
        if let Some(proposal) = &self.proposal {
            self.outstanding = Some(Call::Swap);
            self.checks.covered = self.checks.requested;
            return Some(StoreRequest::SwapHead {
                key: self.keys.head(),
                value: proposal.head.clone(),
                expected_version: self.version,
            });
        }
        if self.checks.requested > self.checks.confirmed {
            return Some(self.read_head());
        }
        (!self.unreferenced.is_empty()).then(|| self.delete())
    }

    fn delete(&mut self) -> StoreRequest {
        self.outstanding = Some(Call::Delete);
        self.delete_due = false;
        self.deleting = std::mem::take(&mut self.unreferenced);
        let keys = self.deleting.clone();
        StoreRequest::DeleteKeys { keys }
    }

    /// Takes the confirmation of the outstanding write.
    pub fn on_written(&mut self, version: StoreVersion) -> Vec<JournalEvent> {
        match self.outstanding.take() {
            Some(Call::Put) => self.part_written(),
            Some(Call::Swap) => return self.commit(version),
            Some(Call::Delete) => self.deleting.clear(),
            Some(Call::Read) => self.read_needed = true,
            None => {}
        }
        Vec::new()
    }

    /// Takes the answer that the key had another version.
    pub fn on_conflict(&mut self, _current: StoreVersion) -> Vec<JournalEvent> {
        match self.outstanding.take() {
            // Only this owner writes under its epoch, so an earlier try with the same value took effect.
            Some(Call::Put) => self.part_written(),
            Some(Call::Swap | Call::Read) => self.read_needed = true,
            Some(Call::Delete) => self.deleting.clear(),
            None => {}
        }
        Vec::new()
    }

    /// Notes that the answer was lost: the write may have taken effect, or may still.
    pub fn on_unknown(&mut self) -> Vec<JournalEvent> {
        match self.outstanding.take() {
            Some(Call::Swap) => {
                self.read_needed = true;
                if let Some(proposal) = &mut self.proposal {
                    proposal.in_doubt = true;
                }
            }
            Some(Call::Delete) => self.unreferenced.append(&mut self.deleting),
            // A segment is sent again unchanged, and a read again.
            Some(Call::Put | Call::Read) | None => {}
        }
        Vec::new()
    }

    /// Notes that the call certainly had no effect.
    pub fn on_refused(&mut self) -> Vec<JournalEvent> {
        self.blocked_until = self.latest.after(self.limits.refusal_backoff);
        match self.outstanding.take() {
            // The next try may take more entries, unless an earlier try may still take effect.
            Some(Call::Swap) => self.proposal = self.proposal.take().filter(|p| p.in_doubt),
            Some(Call::Delete) => self.unreferenced.append(&mut self.deleting),
            Some(Call::Put | Call::Read) | None => {}
        }
        Vec::new()
    }

    /// Takes the head that was read after a lost answer or a conflict.
    pub fn on_head(&mut self, current: Option<(Head, StoreVersion)>) -> Vec<JournalEvent> {
        self.outstanding = None;
        let Some((head, version)) = current else {
            return self.stop("the head is missing");
        };
        if head.epoch > self.head.epoch {
            self.stopped = true;
            let (owner, epoch) = (head.owner, head.epoch);
            return vec![JournalEvent::OwnershipLost { owner, epoch }];
        }
        self.read_needed = false;
        if self.proposal.as_ref().is_some_and(|p| *p.head == head) {
            return self.commit(version);
        }
        if head == *self.head && version == self.version {
            return self.checks.confirm().into_iter().collect();
        }
        self.stop("the head holds what its owner did not write")
    }

    fn stop(&mut self, what: &str) -> Vec<JournalEvent> {
        self.stopped = true;
        let text = format!("{}: {what}", self.shard);
        let refusal = Refusal::new(ResultCode::EpochInvariant, text);
        vec![JournalEvent::HeadInvalid(refusal)]
    }
}
