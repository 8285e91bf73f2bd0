//! Commits to the journal and the replies that depend on them.

use std::sync::Arc;

use crate::code::{Refusal, ResultCode};
use crate::id::{TaskId, WorkId, WorkerId};
use crate::journal::{Head, JournalEvent, Position, StoreRequest, StoreVersion};
use crate::shard::hand_over_step::HandOverStep;
use crate::shard::{Effect, Reply, Shard, StoreResponse};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkKind, WorkState};

/// A journal entry that the store has not confirmed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum PendingEntry {
    /// Acceptance of work.
    Accepted {
        work: WorkId,
        /// Arrival time, from which the record timeout counts.
        at: Timestamp,
    },
    /// End of work.
    Ended { work: WorkId },
    /// A start that was lost.
    Restarted {
        /// Tasks of the lost start, which are acknowledged once the entry is durable.
        lost: Vec<(WorkerId, TaskId)>,
    },
    /// Use of a worker.
    Worker {
        worker: WorkerId,
        /// Time of the first lease grant.
        at: Timestamp,
    },
    /// Use of other shards' workers.
    Borrowed,
    /// Proof after a failed handover that no successor has claimed the shard.
    Resumed,
    /// An entry with no action on commit.
    Other,
}

impl Shard {
    /// Returns the next request for the store, or `None` if one is outstanding or nothing is pending.
    pub fn next_request(&mut self, now: Timestamp) -> Option<StoreRequest> {
        match self.hand_over {
            // The successor's claim must find exactly the head that was stored at the export.
            HandOverStep::Exported => None,
            _ => self.journal.next_request(now),
        }
    }

    /// Returns true if journal entries or refusals wait for the store.
    pub fn has_unrecorded(&self) -> bool {
        self.journal.pending() > 0 || !self.unconfirmed_refusals.is_empty()
    }

    /// Returns the position of the last appended entry, whether durable or pending.
    pub fn last_entry(&self) -> Position {
        let durable = self.journal.committed_up_to().get();
        Position::new(durable + self.journal.pending() as u64)
    }

    /// Returns true if the store has confirmed all entries up to `position`.
    pub fn is_recorded(&self, position: Position) -> bool {
        self.journal.committed_up_to() >= position
    }

    /// Returns the last head known to be in the store, with its version.
    pub fn recorded_head(&self) -> (Arc<Head>, StoreVersion) {
        self.journal.stored_head()
    }

    /// Applies a response of the store.
    pub fn on_store(&mut self, response: StoreResponse, now: Timestamp) {
        let events = match response {
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
        while let Some((_, entry)) = self.uncommitted.pop_front_if(|(at, _)| *at <= up_to) {
            match entry {
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
            WorkKind::Service => "waiting for an executor slot".to_owned(),
            _ => "waiting in the queue".to_owned(),
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
        while let Some(pending) = self
            .unconfirmed_refusals
            .pop_front_if(|pending| pending.check <= up_to)
        {
            self.reply(pending.waiter, Reply::Refused(pending.refusal));
        }
    }

    /// Replies to refusals that were not confirmed in time with `StoreUnavailable`, which does not rule out that
    /// another owner accepted the work.
    pub(super) fn expire_refusals(&mut self, now: Timestamp) {
        let timeout = self.config.record_timeout;
        while let Some(pending) = self
            .unconfirmed_refusals
            .pop_front_if(|pending| pending.at.after(timeout) <= now)
        {
            let text = format!(
                "refused ({}), but the store did not confirm the ownership of the shard in time",
                pending.refusal
            );
            let refusal = Refusal::new(ResultCode::StoreUnavailable, text);
            self.reply(pending.waiter, Reply::Refused(refusal));
        }
    }

    /// Withdraws acceptances that the store did not record in time. Entries that were certainly not written are refused
    /// as not run; the others may have been recorded and stay.
    pub(super) fn withdraw_overdue(&mut self, now: Timestamp) {
        let timeout = self.config.record_timeout;
        let late = |entry: &PendingEntry| match entry {
            PendingEntry::Accepted { at, .. } => at.after(timeout) <= now,
            _ => false,
        };
        let waiting = self.uncommitted.iter().filter(|(_, entry)| late(entry));
        let waiting: Vec<(Position, WorkId)> = waiting
            .filter_map(|(position, entry)| match entry {
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
        let same = |entry: &PendingEntry| matches!(entry, PendingEntry::Accepted { work: w, .. } if w == work);
        for (_, entry) in self.uncommitted.iter_mut().filter(|(_, entry)| same(entry)) {
            *entry = PendingEntry::Other;
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

    /// Tells the waiting callers that the acceptance is unconfirmed. The work stays until the store responds.
    fn report_unconfirmed(&mut self, work: &WorkId) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        let waiters = std::mem::take(&mut record.acceptance_waiters);
        let text =
            format!("{work}: the store has not confirmed the acceptance; retry with the same key");
        for waiter in waiters {
            let refusal = Refusal::new(ResultCode::CommitUnconfirmed, text.clone());
            self.reply(waiter, Reply::Refused(refusal));
        }
    }

    /// Returns the state of work that has ended and is still in the journal.
    pub(super) fn ended_state(&self, work: &WorkId) -> Option<WorkState> {
        let ended = self.journal.state().ended(work)?;
        Some(WorkState::Ended(ended.outcome.clone()))
    }
}
