//! Planned handover of a shard, at the owner and at the successor.
//!
//! The owner stops accepting, waits for the requests that it sent, gives its worker leases up, and commits its journal.
//! Then it exports the tickets together with the version of the head, and writes nothing more. The successor claims the
//! shard by replacing exactly that version of the head, and imports the tickets before it serves. So one
//! compare-and-swap decides which of the two goes on, whatever is lost:
//!
//! - The owner dies before the export: a peer suspects it and claims the shard without a table. Old tickets answer "not
//!   known".
//! - The owner dies after the export: the successor has all it needs and serves.
//! - The successor refuses, dies or falls silent before its claim: the owner commits an empty entry. This replaces the
//!   version that the successor would have to replace, so a claim that is delayed or repeated fails. Only after the
//!   commit the owner starts work again. While the store is down it does neither.
//! - The successor claims the shard and its answer is lost: the owner's commit meets a higher epoch, and the owner steps
//!   down.
//! - The successor claims the shard and dies: the table is lost with it, and old tickets answer "not known".
//! - The owner is paused at any step: from the export on it starts nothing, so what it does later does no harm.
//!
//! Starts that were on their way to workers need no wait, because the successor fences every worker.

use crate::code::{Refusal, ResultCode};
use crate::id::{WorkId, WorkerId};
use crate::journal::JournalEntry;
use crate::shard::commit::Recorded;
use crate::shard::hand_over_step::HandOverStep;
use crate::shard::{Effect, HandOverSnapshot, Shard, ShardEvent, ShardPhase};
use crate::unit::Timestamp;
use crate::work::WorkState;

impl Shard {
    /// Accepts no new work from now on. Requests that were not sent are given back to their callers. Returns false if
    /// the shard is not in a phase from which it can be handed over.
    pub fn begin_hand_over(&mut self, now: Timestamp) -> bool {
        let accepts = self.phase().accepts_work();
        if accepts {
            self.life.handle(ShardEvent::HandOverStarted);
            self.hand_over = HandOverStep::Draining;
            self.withdraw_waiting(now);
        }
        accepts
    }

    /// Tells whether no request of this owner is at an executor.
    pub fn requests_done(&self) -> bool {
        !self.slots.in_use()
    }

    /// Gives all worker leases up, so that a successor need not wait for their end.
    pub fn release_leases(&mut self) {
        if self.hand_over == HandOverStep::Draining {
            self.hand_over = HandOverStep::Released;
            self.give_up_leases();
        }
    }

    /// Tells whether the leases were given up and are not to be renewed.
    pub fn leases_released(&self) -> bool {
        matches!(
            self.hand_over,
            HandOverStep::Released | HandOverStep::Exported
        )
    }

    /// Tells whether the store holds everything that this owner recorded.
    pub fn journal_idle(&self) -> bool {
        self.journal.is_idle()
    }

    /// Returns what a successor needs; none unless the leases are released and the journal is committed. From now on
    /// this owner starts and records nothing.
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

    /// Gives a handover up. After an export the shard serves again only once the store confirms that no successor
    /// claimed it.
    pub fn abort_hand_over(&mut self, now: Timestamp) {
        match self.hand_over {
            HandOverStep::None | HandOverStep::Resuming => {}
            HandOverStep::Draining | HandOverStep::Released => self.resume(now),
            HandOverStep::Exported => {
                self.hand_over = HandOverStep::Resuming;
                let appended = self.journal.append(JournalEntry::Withdrawn);
                if let Some(position) = self.check(ResultCode::EpochInvariant, appended) {
                    self.uncommitted.push_back((position, Recorded::Resumed));
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
        self.life.handle(ShardEvent::HandOverFailed);
        self.check_fenced(now);
        self.schedule(now);
    }

    /// Takes over what the previous owner handed over. To be called before the shard serves.
    ///
    /// # Errors
    ///
    /// Refused with `EpochInvariant` if the tickets are of another shard or of an epoch that is not older.
    pub fn import(&mut self, snapshot: HandOverSnapshot) -> Result<(), Refusal> {
        self.tickets.import(snapshot.tickets)?;
        for work in &snapshot.unsent {
            if let Some(record) = self.works.get_mut(work) {
                record.unsent = true;
            }
        }
        Ok(())
    }

    pub(super) fn give_up_leases(&mut self) {
        let held = self.workers.values().filter_map(|holder| {
            let epoch = holder.lease.epoch()?;
            Some((holder.worker.clone(), epoch))
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
        let works = self
            .works
            .values()
            .filter(|record| waits(&record.state) && !record.may_have_started() && !record.ran);
        works.map(|record| record.id.clone()).collect()
    }
}
