//! What becomes durable, and what is said then.

use std::sync::Arc;

use crate::code::{Refusal, ResultCode};
use crate::id::{TaskId, WorkId, WorkerId};
use crate::journal::{Head, JournalEvent, Position, StoreRequest, StoreVersion};
use crate::shard::hand_over_step::HandOverStep;
use crate::shard::{Effect, Reply, Shard, StoreResponse};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkKind, WorkState};

/// Entry that waits for its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PendingEntry {
    /// Acceptance of work.
    Accepted {
        /// Work.
        work: WorkId,
        /// When it arrived.
        at: Timestamp,
    },
    /// End of work.
    Ended {
        /// Work.
        work: WorkId,
    },
    /// Loss of a start.
    Restarted {
        /// Tasks of the lost start, which their workers may forget then.
        lost: Vec<(WorkerId, TaskId)>,
    },
    /// Use of a worker.
    Worker {
        /// Worker.
        worker: WorkerId,
        /// When it was first leased.
        at: Timestamp,
    },
    /// Use of other shards' workers.
    Borrowed,
    /// Proof that no successor claimed the shard after a handover that failed.
    Resumed,
    /// Anything that nobody waits for.
    Other,
}

impl Shard {
    /// Returns the next call to the store; none while one is outstanding or nothing waits.
    pub fn next_request(&mut self, now: Timestamp) -> Option<StoreRequest> {
        match self.hand_over {
            // A successor claims exactly the head that was in the store at the export.
            HandOverStep::Exported => None,
            _ => self.journal.next_request(now),
        }
    }

    /// Tells whether entries or refusals wait for the store.
    pub fn has_unrecorded(&self) -> bool {
        self.journal.pending() > 0 || !self.unconfirmed_refusals.is_empty()
    }

    /// Returns the position of the last entry that waits for the store or is durable.
    pub fn last_entry(&self) -> Position {
        let durable = self.journal.committed_up_to().get();
        Position::new(durable + self.journal.pending() as u64)
    }

    /// Tells whether the store has confirmed all entries up to a position.
    pub fn is_recorded(&self, position: Position) -> bool {
        self.journal.committed_up_to() >= position
    }

    /// Returns the last head known to be in the store, with its version.
    pub fn recorded_head(&self) -> (Arc<Head>, StoreVersion) {
        self.journal.stored_head()
    }

    /// Takes the answer of the store.
    pub fn on_store(&mut self, answer: StoreResponse, now: Timestamp) {
        let events = match answer {
            StoreResponse::Written(version) => self.journal.on_written(version),
            StoreResponse::Conflict(version) => self.journal.on_conflict(version),
            StoreResponse::Unknown => self.journal.on_unknown(),
            StoreResponse::Refused => self.journal.on_refused(),
            StoreResponse::Head(head) => self.journal.on_head(head.map(|head| *head)),
        };
        for event in events {
            match event {
                JournalEvent::Committed { up_to } => self.on_committed(up_to, now),
                JournalEvent::OwnershipConfirmed { up_to } => self.confirm_refusals(up_to),
                JournalEvent::SnapshotNeeded => self.journal.begin_snapshot(),
                JournalEvent::OwnershipLost { owner, epoch } => {
                    let shard = &self.config.shard;
                    let text = format!("{owner} owns shard {shard} at epoch {epoch}");
                    self.halt(Refusal::new(ResultCode::NotOwner, text));
                }
                JournalEvent::HeadInvalid(refusal) => self.halt(refusal),
            }
        }
        self.schedule(now);
    }

    fn on_committed(&mut self, up_to: Position, now: Timestamp) {
        while let Some((_, recorded)) = self.uncommitted.pop_front_if(|(at, _)| *at <= up_to) {
            match recorded {
                PendingEntry::Accepted { work, .. } => self.on_acceptance_recorded(&work),
                PendingEntry::Ended { work } => self.on_end_recorded(&work),
                PendingEntry::Restarted { lost } => self.acknowledge_lost(lost),
                PendingEntry::Worker { worker, .. } => self.on_worker_recorded(&worker),
                PendingEntry::Resumed => self.resume(now),
                PendingEntry::Borrowed => self.on_borrowing_recorded(),
                PendingEntry::Other => {}
            }
        }
    }

    fn on_acceptance_recorded(&mut self, work: &WorkId) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        record.accepting = None;
        record.reason = match record.spec.kind {
            WorkKind::Service => "waiting for a slot".to_owned(),
            _ => "waiting for its turn".to_owned(),
        };
        let entry = record.queue_entry();
        let waiters = std::mem::take(&mut record.acceptance_waiters);
        let view = record.view();
        for waiter in waiters {
            let view = Box::new(view.clone());
            self.reply(
                waiter,
                Reply::Accepted {
                    view,
                    repeated: false,
                },
            );
        }
        let ending = self
            .records
            .get(work)
            .is_some_and(|record| record.ending.is_some());
        if !ending {
            self.queue_of(work).push(entry);
        }
    }

    fn on_end_recorded(&mut self, work: &WorkId) {
        let ending = self
            .records
            .get_mut(work)
            .and_then(|record| record.ending.take());
        if let Some((outcome, _)) = ending {
            self.finish(work, outcome);
        }
    }

    fn acknowledge_lost(&mut self, lost: Vec<(WorkerId, TaskId)>) {
        for (worker, task) in lost {
            let tasks = vec![task];
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
    }

    fn on_worker_recorded(&mut self, worker: &WorkerId) {
        let used = self.journal.state().workers().get(worker);
        let recorded = used.map(|used| used.incarnation);
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.recorded = recorded.is_some() && worker_record.incarnation == recorded;
            self.update_open_state(worker);
        }
    }

    fn confirm_refusals(&mut self, up_to: u64) {
        while let Some(held) = self
            .unconfirmed_refusals
            .pop_front_if(|held| held.check <= up_to)
        {
            self.reply(held.waiter, Reply::Refused(held.refusal));
        }
    }

    /// Answers refusals that the store did not confirm in time with a code that says less.
    pub(super) fn expire_refusals(&mut self, now: Timestamp) {
        let timeout = self.config.record_timeout;
        while let Some(held) = self
            .unconfirmed_refusals
            .pop_front_if(|held| held.at.after(timeout) <= now)
        {
            let text = format!(
                "not accepted here ({}), and the store does not answer",
                held.refusal
            );
            let refusal = Refusal::new(ResultCode::StoreUnavailable, text);
            self.reply(held.waiter, Reply::Refused(refusal));
        }
    }

    /// Withdraws acceptances that the store did not record in time. What was certainly not written is refused as not
    /// run; the rest may have been recorded and stays.
    pub(super) fn withdraw_overdue(&mut self, now: Timestamp) {
        let timeout = self.config.record_timeout;
        let late = |recorded: &PendingEntry| match recorded {
            PendingEntry::Accepted { at, .. } => at.after(timeout) <= now,
            _ => false,
        };
        let waiting = self
            .uncommitted
            .iter()
            .filter(|(_, recorded)| late(recorded));
        let waiting: Vec<(Position, WorkId)> = waiting
            .filter_map(|(position, recorded)| match recorded {
                PendingEntry::Accepted { work, .. } => Some((*position, work.clone())),
                _ => None,
            })
            .collect();
        for (position, work) in waiting {
            match self.journal.withdraw(position) {
                true => self.refuse_unrecorded(&work),
                false => self.report_unconfirmed(&work),
            }
        }
    }

    fn refuse_unrecorded(&mut self, work: &WorkId) {
        let same = |recorded: &PendingEntry| matches!(recorded, PendingEntry::Accepted { work: w, .. } if w == work);
        for (_, recorded) in self
            .uncommitted
            .iter_mut()
            .filter(|(_, recorded)| same(recorded))
        {
            *recorded = PendingEntry::Other;
        }
        let text = "the store did not record the work in time, so it was not accepted";
        let refusal = Refusal::new(ResultCode::StoreUnavailable, text);
        let waiters = self
            .records
            .get_mut(work)
            .map(|record| std::mem::take(&mut record.acceptance_waiters));
        for waiter in waiters.into_iter().flatten() {
            self.reply(waiter, Reply::Refused(refusal.clone()));
        }
        self.finish(work, Outcome::Refused(refusal));
    }

    /// Tells waiting callers that the acceptance is in doubt. The work itself stays until the store answers.
    fn report_unconfirmed(&mut self, work: &WorkId) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        let waiters = std::mem::take(&mut record.acceptance_waiters);
        let text =
            format!("{work}: the store has not confirmed the record; ask again with the same key");
        for waiter in waiters {
            let refusal = Refusal::new(ResultCode::CommitUnconfirmed, text.clone());
            self.reply(waiter, Reply::Refused(refusal));
        }
    }

    /// Returns the state of work that ended earlier.
    pub(super) fn ended_state(&self, work: &WorkId) -> Option<WorkState> {
        let ended = self.journal.state().ended(work)?;
        Some(WorkState::Ended(ended.outcome.clone()))
    }
}
