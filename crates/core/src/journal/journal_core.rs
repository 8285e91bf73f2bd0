use std::collections::VecDeque;
use std::sync::Arc;

use crate::code::{Refusal, ResultCode};
use crate::id::ShardId;
use crate::journal::group_commit::entry_bytes;
use crate::journal::ownership_checks::OwnershipChecks;
use crate::journal::proposal::{Proposal, StagedValues};
use crate::journal::{
    Head, JournalEntry, JournalEvent, JournalKeys, JournalLimits, JournalState, Position,
    StoreRequest, StoreVersion,
};
use crate::unit::{Bytes, Timestamp};

/// Kind of the outstanding store request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestKind {
    Put,
    Swap,
    Read,
    Delete,
}

/// Journal of one owner, with group commit: at most one store request is outstanding, and each commit takes as many
/// pending entries as fit.
///
/// An entry is durable only after the store confirmed a head that includes it.
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
    pub(super) staged: Option<StagedValues>,
    pub(super) proposal: Option<Proposal>,
    pub(super) outstanding: Option<RequestKind>,
    pub(super) read_needed: bool,
    pub(super) snapshot_requested: bool,
    // Sizes of the last snapshot and of the segments after it, counting only those that this owner wrote.
    pub(super) snapshot_bytes: u64,
    pub(super) segment_bytes: u64,
    pub(super) unreferenced: Vec<String>,
    // Set by each commit, so that deletions alternate with commits and neither starves the other.
    pub(super) delete_due: bool,
    pub(super) deleting: Vec<String>,
    pub(super) latest_time: Timestamp,
    pub(super) retry_at: Timestamp,
    pub(super) stopped: bool,
    pub(super) ownership_checks: OwnershipChecks,
}

impl Journal {
    /// Creates the journal from the head of a claim that took effect and the state replayed from it.
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
            snapshot_requested: false,
            snapshot_bytes: 0,
            segment_bytes: 0,
            unreferenced: Vec::new(),
            delete_due: false,
            deleting: Vec::new(),
            latest_time: Timestamp::default(),
            retry_at: Timestamp::default(),
            stopped: false,
            ownership_checks: OwnershipChecks::default(),
        }
    }

    /// Appends an entry to the next commit. Refused with `BodyTooLarge` if it exceeds [`JournalLimits::entry`].
    pub fn append(&mut self, entry: JournalEntry) -> Result<Position, Refusal> {
        let bytes = entry_bytes(&entry);
        let limit = self.limits.entry();
        if bytes > limit.get() {
            let size = Bytes::new(bytes);
            let text = format!("the journal entry has {size}, above the limit of {limit}");
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

    /// Returns the position of the last entry that was sent to the store and may be durable even if this owner never
    /// gets the answer. Once the ownership is lost, entries after it will certainly not become durable.
    pub fn possibly_written_up_to(&self) -> Position {
        let sent = self.proposal.as_ref().filter(|proposal| {
            proposal.in_doubt || self.outstanding == Some(RequestKind::Swap) || self.read_needed
        });
        Position::new(self.committed + sent.map_or(0, |proposal| proposal.entries as u64))
    }

    /// Returns the durable state.
    pub fn state(&self) -> &JournalState {
        &self.state
    }

    /// Returns the last head known to be stored.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the version of [`Self::head`] in the store.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns true if nothing is left to write and no request is outstanding, so that the head in the store equals
    /// [`Self::head`].
    pub fn is_idle(&self) -> bool {
        let unsent = self.pending.is_empty() && self.staged.is_none() && self.proposal.is_none();
        unsent && self.outstanding.is_none() && !self.read_needed
    }

    /// Returns the last head known to be stored, with its version.
    pub fn stored_head(&self) -> (Arc<Head>, StoreVersion) {
        (self.head.clone(), self.version)
    }

    /// Returns true if the ownership was lost or the stored head was found invalid.
    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Requests a snapshot with the next commit.
    pub fn begin_snapshot(&mut self) {
        self.snapshot_requested = true;
    }

    /// Returns the next request to send to the store, or `None` if one is outstanding or there is nothing to do.
    pub fn next_request(&mut self, now: Timestamp) -> Option<StoreRequest> {
        self.latest_time = self.latest_time.max(now);
        if self.stopped || self.outstanding.is_some() || now < self.retry_at {
            return None;
        }
        if self.read_needed {
            return Some(self.read_head());
        }
        if self.proposal.is_none() {
            if self.delete_due && !self.unreferenced.is_empty() {
                return Some(self.delete());
            }
            self.stage_values();
            if let Some(write) = self.next_part() {
                self.outstanding = Some(RequestKind::Put);
                return Some(write);
            }
            self.propose();
        }
        if let Some(proposal) = &self.proposal {
            self.outstanding = Some(RequestKind::Swap);
            self.ownership_checks.covered = self.ownership_checks.requested;
            return Some(StoreRequest::SwapHead {
                key: self.keys.head(),
                value: proposal.head.clone(),
                expected_version: self.version,
            });
        }
        if self.ownership_checks.requested > self.ownership_checks.confirmed {
            return Some(self.read_head());
        }
        (!self.unreferenced.is_empty()).then(|| self.delete())
    }

    fn delete(&mut self) -> StoreRequest {
        self.outstanding = Some(RequestKind::Delete);
        self.delete_due = false;
        self.deleting = std::mem::take(&mut self.unreferenced);
        let keys = self.deleting.clone();
        StoreRequest::DeleteKeys { keys }
    }

    /// Handles the confirmation of the outstanding write.
    pub fn on_written(&mut self, version: StoreVersion) -> Vec<JournalEvent> {
        match self.outstanding.take() {
            Some(RequestKind::Put) => self.part_written(),
            Some(RequestKind::Swap) => return self.commit(version),
            Some(RequestKind::Delete) => self.deleting.clear(),
            Some(RequestKind::Read) => self.read_needed = true,
            None => {}
        }
        Vec::new()
    }

    /// Handles the answer that the key has another version than expected.
    pub fn on_conflict(&mut self, _current: StoreVersion) -> Vec<JournalEvent> {
        match self.outstanding.take() {
            // Only this owner writes keys of its epoch, so an earlier try with the same value took effect.
            Some(RequestKind::Put) => self.part_written(),
            Some(RequestKind::Swap | RequestKind::Read) => self.read_needed = true,
            Some(RequestKind::Delete) => self.deleting.clear(),
            None => {}
        }
        Vec::new()
    }

    /// Handles the loss of the answer. The request may have taken effect, or may still do so.
    pub fn on_unknown(&mut self) -> Vec<JournalEvent> {
        match self.outstanding.take() {
            Some(RequestKind::Swap) => {
                self.read_needed = true;
                if let Some(proposal) = &mut self.proposal {
                    proposal.in_doubt = true;
                }
            }
            Some(RequestKind::Delete) => self.unreferenced.append(&mut self.deleting),
            // A segment or a read is sent again unchanged.
            Some(RequestKind::Put | RequestKind::Read) | None => {}
        }
        Vec::new()
    }

    /// Handles a refusal by the store. The request certainly had no effect, and the next one waits for a backoff.
    pub fn on_refused(&mut self) -> Vec<JournalEvent> {
        self.retry_at = self.latest_time.after(self.limits.refusal_backoff);
        match self.outstanding.take() {
            // The next proposal may include more entries, unless an earlier try may still take effect.
            Some(RequestKind::Swap) => self.proposal = self.proposal.take().filter(|p| p.in_doubt),
            Some(RequestKind::Delete) => self.unreferenced.append(&mut self.deleting),
            Some(RequestKind::Put | RequestKind::Read) | None => {}
        }
        Vec::new()
    }

    /// Handles the head that was read after a lost answer, after a conflict or for an ownership check.
    pub fn on_head(&mut self, current: Option<(Head, StoreVersion)>) -> Vec<JournalEvent> {
        self.outstanding = None;
        let Some((head, version)) = current else {
            return self.stop("the journal head is missing from the store");
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
            return self.ownership_checks.confirm().into_iter().collect();
        }
        self.stop("the journal head in the store was not written by its owner")
    }

    fn stop(&mut self, reason: &str) -> Vec<JournalEvent> {
        self.stopped = true;
        let text = format!("{}: {reason}", self.shard);
        let refusal = Refusal::new(ResultCode::EpochInvariant, text);
        vec![JournalEvent::HeadInvalid(refusal)]
    }
}
