//! Planned handover of a shard, at the owner and at the successor.
//!
//! The owner stops accepting work, waits for its outstanding requests, releases its worker leases and commits its
//! journal. Then it exports the tickets together with the version of the head, and writes nothing more. The successor
//! claims the shard by replacing exactly that version of the head, and imports the tickets before it serves. So a
//! single compare-and-swap decides which of the two owns the shard, whichever message is lost:
//!
//! - The owner dies before the export: a peer suspects it and claims the shard without a ticket table. Old tickets get
//!   "not known".
//! - The owner dies after the export: the successor has everything it needs and serves.
//! - The successor refuses, dies or does not respond before its claim: the owner commits an empty entry. This replaces
//!   the version that the successor would have to replace, so a delayed or repeated claim fails. The owner resumes only
//!   after the commit. While the store is unavailable, it can do neither.
//! - The successor claims the shard and its response is lost: the owner's commit meets a higher epoch, and the owner
//!   steps down.
//! - The successor claims the shard and dies: the ticket table is lost with it, and old tickets get "not known".
//! - The owner is paused at any step: it starts nothing after the export, so late actions are harmless.
//!
//! Starts in flight to workers need no wait, because the successor fences every worker.

use crate::code::{Refusal, ResultCode};
use crate::id::{WorkId, WorkerId};
use crate::journal::JournalEntry;
use crate::shard::commit::PendingEntry;
use crate::shard::hand_over_step::HandOverStep;
use crate::shard::{Effect, HandOverSnapshot, Shard, ShardEvent, ShardPhase};
use crate::unit::Timestamp;
use crate::work::WorkState;

impl Shard {
    /// Stops accepting new work, and refuses requests that were not sent yet so that their callers can retry at the
    /// successor. Returns false if the shard is not in a phase from which it can be handed over.
    pub fn begin_hand_over(&mut self, now: Timestamp) -> bool {
        let accepts = self.phase().accepts_work();
        if accepts {
            self.lifecycle.handle(ShardEvent::HandOverStarted);
            self.hand_over = HandOverStep::Draining;
            self.withdraw_waiting(now);
        }
        accepts
    }

    /// Returns true if no request of this owner is outstanding at an executor.
    pub fn requests_done(&self) -> bool {
        !self.slots.in_use()
    }

    /// Releases all worker leases, so that the successor need not wait until they expire.
    pub fn release_leases(&mut self) {
        if self.hand_over == HandOverStep::Draining {
            self.hand_over = HandOverStep::Released;
            self.release_all_leases();
        }
    }

    /// Returns true if the leases were released and must not be renewed.
    pub fn leases_released(&self) -> bool {
        matches!(
            self.hand_over,
            HandOverStep::Released | HandOverStep::Exported
        )
    }

    /// Returns true if the store has confirmed every entry of this owner.
    pub fn journal_idle(&self) -> bool {
        self.journal.is_idle()
    }

    /// Returns the state for the successor, or `None` unless the leases are released and the journal is committed.
    /// After the export this owner starts and records nothing.
    pub fn export(&mut self, now: Timestamp) -> Option<HandOverSnapshot> {
        if self.hand_over != HandOverStep::Released || self.phase() != ShardPhase::HandingOver {
            return None;
        }
        // A request that an executor refused in the meantime waits again.
        self.withdraw_waiting(now);
        if !self.journal.is_idle() {
            return None;
        }
        self.hand_over = HandOverStep::Exported;
        Some(HandOverSnapshot {
            head: self.journal.version(),
            tickets: self.tickets.export(),
            unsent: self.unsent(),
        })
    }

    /// Aborts a handover. After an export the shard serves again only once the store confirms that no successor has
    /// claimed it.
    pub fn abort_hand_over(&mut self, now: Timestamp) {
        match self.hand_over {
            HandOverStep::None | HandOverStep::Resuming => {}
            HandOverStep::Draining | HandOverStep::Released => self.resume(now),
            HandOverStep::Exported => {
                self.hand_over = HandOverStep::Resuming;
                let appended = self.journal.append(JournalEntry::Withdrawn);
                if let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) {
                    self.uncommitted
                        .push_back((position, PendingEntry::Resumed));
                    self.effects.push(Effect::Commit);
                }
            }
        }
    }

    pub(super) fn resume(&mut self, now: Timestamp) {
        if self.hand_over == HandOverStep::None || self.phase() != ShardPhase::HandingOver {
            return;
        }
        self.hand_over = HandOverStep::None;
        self.tickets.cancel_export();
        self.lifecycle.handle(ShardEvent::HandOverFailed);
        self.check_fencing_complete(now);
        self.schedule(now);
    }

    /// Imports the state exported by the previous owner. Must be called before the shard serves.
    ///
    /// # Errors
    ///
    /// Refused with `EpochInvariant` if the tickets are of another shard or of an epoch that is not older.
    pub fn import(&mut self, snapshot: HandOverSnapshot) -> Result<(), Refusal> {
        self.tickets.import(snapshot.tickets)?;
        for work in &snapshot.unsent {
            if let Some(record) = self.records.get_mut(work) {
                record.unsent = true;
            }
        }
        Ok(())
    }

    pub(super) fn release_all_leases(&mut self) {
        let held = self.workers.values().filter_map(|worker_record| {
            let epoch = worker_record.lease.epoch()?;
            Some((worker_record.worker.clone(), epoch))
        });
        let held: Vec<_> = held.collect();
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in &workers {
            self.lease_refused(worker);
        }
        let release = |(worker, epoch)| Effect::ReleaseLease { worker, epoch };
        self.effects.extend(held.into_iter().map(release));
    }

    /// Returns recorded work that no host can have started.
    fn unsent(&self) -> Vec<WorkId> {
        let waits = |state: &WorkState| matches!(state, WorkState::Waiting | WorkState::Held);
        let records = self.records.values().filter(|record| {
            waits(&record.state) && !record.may_have_started() && !record.may_have_run
        });
        records.map(|record| record.id.clone()).collect()
    }
}
