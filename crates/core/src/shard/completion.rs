//! Completion of work whose tasks have stopped: its end or another start.

use crate::code::{Refusal, RefusalClass, ResultCode};
use crate::id::{TaskId, WorkId, WorkerId};
use crate::journal::JournalEntry;
use crate::shard::after_stop::AfterStop;
use crate::shard::commit::PendingEntry;
use crate::shard::invariant::check_not_run;
use crate::shard::placement_state::PlacementState;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::{Deduplication, Effect, Reply, Shard};
use crate::unit::Timestamp;
use crate::work::{Outcome, Repeatability, WorkState};

/// Attempts that may fail to start on hosts before the work is refused.
const MAX_FAILED_ATTEMPTS: u32 = 8;

impl Shard {
    /// Completes or requeues work if all of its tasks have stopped.
    pub(super) fn complete_if_stopped(&mut self, work: &WorkId, now: Timestamp) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        let open = record
            .placements
            .iter()
            .any(|placement| !placement.is_finished());
        if open || record.ending.is_some() || record.placements.is_empty() {
            return;
        }
        let output = |placement: &TaskPlacement| placement.output.is_some();
        let complete = record.placements.len() == record.spec.task_count as usize;
        let succeeded = complete && record.placements.iter().all(output);
        if record.inherited && !succeeded {
            return;
        }
        let is_started =
            |placement: &_| matches!(placement, PlacementState::Finished { started: true });
        let started = record
            .placements
            .iter()
            .any(|placement| is_started(&placement.state));
        match record.after_stop.take() {
            None if complete => {
                let outputs = record
                    .placements
                    .iter()
                    .filter_map(|placement| placement.output.clone());
                let output = outputs.collect::<Vec<_>>().join("\n");
                self.end(work, Outcome::Succeeded(output), now);
            }
            None => {}
            Some(AfterStop::Requeue) => self.requeue(work, started, now),
            Some(AfterStop::End(outcome)) => {
                record.may_have_run |= started;
                if !started {
                    self.clear_placements(work);
                }
                self.end(work, outcome, now);
            }
        }
    }

    /// Returns work to its queue, or ends it if it must not start again.
    pub(super) fn requeue(&mut self, work: &WorkId, started: bool, now: Timestamp) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        if started && record.spec.repeatability == Repeatability::AtMostOnce {
            let text = "a host was lost while the work may have been running on it";
            let outcome = Outcome::Refused(Refusal::new(ResultCode::HostLost, text));
            self.end(work, outcome, now);
            return;
        }
        if std::mem::take(&mut record.start_failed) {
            record.failed_attempts += 1;
        }
        let failed = record.failed_attempts;
        if started {
            record.may_have_run = true;
            self.record_restart(work);
        } else {
            self.clear_placements(work);
        }
        self.release_charge(work);
        if !started && failed >= MAX_FAILED_ATTEMPTS {
            let text = format!("the work could not be started on its hosts in {failed} attempts");
            let outcome = Outcome::Refused(Refusal::new(ResultCode::StartRefused, text));
            self.end(work, outcome, now);
            return;
        }
        if let Some(record) = self.records.get_mut(work) {
            record.state = WorkState::Waiting;
            record.reason = "waiting to be started again".to_owned();
            record.started_at = None;
            let entry = record.queue_entry();
            self.queue_of(work).push(entry);
        }
    }

    /// Ends work. For journalled work, callers are told once the end is recorded.
    pub(super) fn end(&mut self, work: &WorkId, outcome: Outcome, now: Timestamp) {
        self.queue_of(work).remove(work);
        self.end_gang_wait(work, now);
        self.release_charge(work);
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        if record.ending.is_some() {
            return;
        }
        let outcome = adjust_for_started(outcome, record.may_have_run);
        let checked = check_not_run(record, &outcome);
        let deduplication = record.deduplication.clone();
        if self
            .halt_on_error(ResultCode::RefusedInvariant, checked)
            .is_none()
        {
            return;
        }
        match deduplication {
            Deduplication::Ticket(ticket) => {
                self.tickets.complete(&ticket, outcome.clone(), now);
                self.by_ticket.remove(&ticket);
                self.finish(work, outcome);
            }
            Deduplication::Once => self.finish(work, outcome),
            Deduplication::Journal(_) => self.record_end(work, outcome, now),
        }
    }

    /// Records that a start was lost, and acknowledges its tasks only after that is durable. So a successor learns of
    /// the start either from the journal or from the workers.
    pub(super) fn record_restart(&mut self, work: &WorkId) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        let journalled = matches!(record.deduplication, Deduplication::Journal(_));
        let placements = std::mem::take(&mut record.placements);
        let mut lost = Vec::new();
        for placement in placements {
            let task = placement.task(work);
            self.release_allocation(&placement.worker, &task);
            lost.push((placement.worker, task));
        }
        if !journalled {
            return;
        }
        let appended = self
            .journal
            .append(JournalEntry::Restarted { work: work.clone() });
        if let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) {
            self.uncommitted
                .push_back((position, PendingEntry::Restarted { lost }));
            self.effects.push(Effect::Commit);
        }
    }

    fn record_end(&mut self, work: &WorkId, outcome: Outcome, now: Timestamp) {
        let entry = |outcome: &Outcome| JournalEntry::Ended {
            work: work.clone(),
            outcome: outcome.clone(),
            at: now,
        };
        let (outcome, appended) = match self.journal.append(entry(&outcome)) {
            Ok(position) => (outcome, Ok(position)),
            Err(refusal) => {
                let shorter = Outcome::Failed(format!("the outcome can't be recorded: {refusal}"));
                let appended = self.journal.append(entry(&shorter));
                (shorter, appended)
            }
        };
        let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) else {
            return;
        };
        self.uncommitted
            .push_back((position, PendingEntry::Ended { work: work.clone() }));
        self.effects.push(Effect::Commit);
        if let Some(record) = self.records.get_mut(work) {
            record.reason = "ended; waiting for the store to record the outcome".to_owned();
            record.ending = Some((outcome, position));
        }
    }

    /// Replies to all waiters and removes the record.
    pub(super) fn finish(&mut self, work: &WorkId, outcome: Outcome) {
        let Some(record) = self.records.remove(work) else {
            return;
        };
        if let Deduplication::Journal(key) = &record.deduplication {
            self.by_key.remove(&(record.spec.team.clone(), key.clone()));
        }
        for placement in record
            .placements
            .iter()
            .filter(|placement| placement.is_finished())
        {
            let tasks = vec![placement.task(work)];
            let worker = placement.worker.clone();
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
        let mut view = record.view();
        view.state = WorkState::Ended(outcome.clone());
        for waiter in record.acceptance_waiters {
            let reply = Reply::Accepted {
                view: Box::new(view.clone()),
                repeated: false,
            };
            self.reply(waiter, reply);
        }
        for waiter in record.end_waiters {
            let outcome = outcome.clone();
            self.reply(
                waiter,
                Reply::Ended {
                    outcome,
                    repeated: false,
                },
            );
        }
    }

    /// Returns the resources charged to the team.
    pub(super) fn release_charge(&mut self, work: &WorkId) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        if !std::mem::take(&mut record.charged) {
            return;
        }
        let (kind, team, need) = (record.spec.kind, record.spec.team.clone(), record.need());
        self.queue_of(work).uncharge(kind, &team, need);
    }

    /// Releases the capacity allocated to a task.
    pub(super) fn release_allocation(&mut self, worker: &WorkerId, task: &TaskId) {
        let worker_record = self.workers.get_mut(worker);
        if let Some(resources) =
            worker_record.and_then(|worker_record| worker_record.allocations.remove(task))
        {
            self.fleet.release(worker, resources);
            self.on_capacity_freed();
        }
    }

    /// Removes the placements of work whose tasks have all stopped, and acknowledges the tasks at their workers.
    pub(super) fn clear_placements(&mut self, work: &WorkId) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        for placement in std::mem::take(&mut record.placements) {
            let task = placement.task(work);
            self.release_allocation(&placement.worker, &task);
            let (worker, tasks) = (placement.worker, vec![task]);
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
    }
}

/// Turns a refusal in class "not run" into "stopped" if some part of the work has run.
fn adjust_for_started(outcome: Outcome, started: bool) -> Outcome {
    match outcome {
        Outcome::Refused(refusal) if started && refusal.class() == RefusalClass::NotRun => {
            let text = format!("the work had started: {}", refusal.message);
            Outcome::Refused(Refusal::new(ResultCode::Stopped, text))
        }
        other => other,
    }
}
