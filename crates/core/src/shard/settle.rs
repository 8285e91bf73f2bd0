//! What follows when tasks have stopped: the end of the work or another start.

use crate::code::{Refusal, RefusalClass, ResultCode};
use crate::id::{TaskId, WorkId, WorkerId};
use crate::journal::JournalEntry;
use crate::shard::after_stop::AfterStop;
use crate::shard::commit::Recorded;
use crate::shard::invariant::check_not_run;
use crate::shard::place::Place;
use crate::shard::place_state::PlaceState;
use crate::shard::{Effect, Reply, Route, Shard};
use crate::unit::Timestamp;
use crate::work::{Outcome, Repeatability, WorkState};

/// Attempts of one piece of work that may fail at hosts before it is given up.
const MAX_FAILED_ATTEMPTS: u32 = 8;

impl Shard {
    /// Decides about work all of whose tasks have stopped.
    pub(super) fn settle(&mut self, work: &WorkId, now: Timestamp) {
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        let open = record.places.iter().any(|place| !place.is_finished());
        if open || record.ending.is_some() || record.places.is_empty() {
            return;
        }
        let output = |place: &Place| place.output.is_some();
        let complete = record.places.len() == record.spec.task_count as usize;
        let succeeded = complete && record.places.iter().all(output);
        if record.inherited && !succeeded {
            return;
        }
        let is_started = |place: &_| matches!(place, PlaceState::Finished { started: true });
        let started = record.places.iter().any(|place| is_started(&place.state));
        match record.then.take() {
            None if complete => {
                let outputs = record
                    .places
                    .iter()
                    .filter_map(|place| place.output.clone());
                let output = outputs.collect::<Vec<_>>().join("\n");
                self.end(work, Outcome::Succeeded(output), now);
            }
            None => {}
            Some(AfterStop::Requeue) => self.requeue(work, started, now),
            Some(AfterStop::End(outcome)) => {
                record.ran |= started;
                if !started {
                    self.clear_places(work);
                }
                self.end(work, outcome, now);
            }
        }
    }

    /// Puts work back into its queue, or ends it if it must not start again.
    pub(super) fn requeue(&mut self, work: &WorkId, started: bool, now: Timestamp) {
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        if started && record.spec.repeatability == Repeatability::AtMostOnce {
            let text = "a host failed while it may have run the work";
            let outcome = Outcome::Refused(Refusal::new(ResultCode::HostLost, text));
            self.end(work, outcome, now);
            return;
        }
        if std::mem::take(&mut record.start_failed) {
            record.failed_attempts += 1;
        }
        let failed = record.failed_attempts;
        if started {
            record.ran = true;
            self.record_restart(work);
        } else {
            self.clear_places(work);
        }
        self.discharge(work);
        if !started && failed >= MAX_FAILED_ATTEMPTS {
            let text = format!("{failed} attempts to start the work failed at hosts");
            let outcome = Outcome::Refused(Refusal::new(ResultCode::StartRefused, text));
            self.end(work, outcome, now);
            return;
        }
        if let Some(record) = self.works.get_mut(work) {
            record.state = WorkState::Waiting;
            record.reason = "waiting for another start".to_owned();
            record.started_at = None;
            let entry = record.queue_entry();
            self.queue_of(work).push(entry);
        }
    }

    /// Ends work. On the journal route callers learn of it once it is recorded.
    pub(super) fn end(&mut self, work: &WorkId, outcome: Outcome, now: Timestamp) {
        self.queue_of(work).remove(work);
        self.end_gang_wait(work, now);
        self.discharge(work);
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        if record.ending.is_some() {
            return;
        }
        let outcome = correct_for_start(outcome, record.ran);
        let checked = check_not_run(record, &outcome);
        let route = record.route.clone();
        if self.check(ResultCode::RefusedInvariant, checked).is_none() {
            return;
        }
        match route {
            Route::Ticket(ticket) => {
                self.tickets.complete(&ticket, outcome.clone(), now);
                self.by_ticket.remove(&ticket);
                self.finish(work, outcome);
            }
            Route::Once => self.finish(work, outcome),
            Route::Journal(_) => self.record_end(work, outcome, now),
        }
    }

    /// Records that a start of the work was lost, and only then lets the workers forget it. So a successor learns of it
    /// either from the journal or from the workers.
    pub(super) fn record_restart(&mut self, work: &WorkId) {
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        let journalled = matches!(record.route, Route::Journal(_));
        let places = std::mem::take(&mut record.places);
        let mut lost = Vec::new();
        for place in places {
            let task = place.task(work);
            self.release_claim(&place.worker, &task);
            lost.push((place.worker, task));
        }
        if !journalled {
            return;
        }
        let appended = self
            .journal
            .append(JournalEntry::Restarted { work: work.clone() });
        if let Some(position) = self.check(ResultCode::EpochInvariant, appended) {
            self.uncommitted
                .push_back((position, Recorded::Restarted { lost }));
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
                let shorter = Outcome::Failed(format!("the answer can't be kept: {refusal}"));
                let appended = self.journal.append(entry(&shorter));
                (shorter, appended)
            }
        };
        let Some(position) = self.check(ResultCode::EpochInvariant, appended) else {
            return;
        };
        self.uncommitted
            .push_back((position, Recorded::Ended { work: work.clone() }));
        self.effects.push(Effect::Commit);
        if let Some(record) = self.works.get_mut(work) {
            record.reason = "ended; waiting for the store to record the outcome".to_owned();
            record.ending = Some((outcome, position));
        }
    }

    /// Tells all callers and forgets the record.
    pub(super) fn finish(&mut self, work: &WorkId, outcome: Outcome) {
        let Some(record) = self.works.remove(work) else {
            return;
        };
        if let Route::Journal(key) = &record.route {
            self.by_key.remove(&(record.spec.team.clone(), key.clone()));
        }
        for place in record.places.iter().filter(|place| place.is_finished()) {
            let tasks = vec![place.task(work)];
            let worker = place.worker.clone();
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
        let mut view = record.view();
        view.state = WorkState::Ended(outcome.clone());
        for waiter in record.until_recorded {
            let reply = Reply::Accepted {
                view: Box::new(view.clone()),
                repeated: false,
            };
            self.reply(waiter, reply);
        }
        for waiter in record.until_end {
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

    /// Gives back what the work was charged for.
    pub(super) fn discharge(&mut self, work: &WorkId) {
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        if !std::mem::take(&mut record.charged) {
            return;
        }
        let (kind, team, need) = (record.spec.kind, record.spec.team.clone(), record.need());
        self.queue_of(work).uncharge(kind, &team, need);
    }

    /// Gives back the capacity that a task held.
    pub(super) fn release_claim(&mut self, worker: &WorkerId, task: &TaskId) {
        let holder = self.workers.get_mut(worker);
        if let Some(resources) = holder.and_then(|holder| holder.claims.remove(task)) {
            self.fleet.release(worker, resources);
            self.capacity_freed();
        }
    }

    /// Forgets the places of work, all of which have stopped, and lets the workers forget the tasks.
    pub(super) fn clear_places(&mut self, work: &WorkId) {
        let Some(record) = self.works.get_mut(work) else {
            return;
        };
        for place in std::mem::take(&mut record.places) {
            let task = place.task(work);
            self.release_claim(&place.worker, &task);
            let (worker, tasks) = (place.worker, vec![task]);
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
    }
}

/// A refusal as "not run" becomes "stopped" for work of which some part has run.
fn correct_for_start(outcome: Outcome, started: bool) -> Outcome {
    match outcome {
        Outcome::Refused(refusal) if started && refusal.class() == RefusalClass::NotRun => {
            let text = format!("the work had started: {}", refusal.message);
            Outcome::Refused(Refusal::new(ResultCode::Stopped, text))
        }
        other => other,
    }
}
