//! The place of a task that a worker reports.

use crate::code::{Refusal, ResultCode};
use crate::id::{TaskId, WorkerId};
use crate::shard::after_stop::AfterStop;
use crate::shard::invariant::second_place;
use crate::shard::place::Place;
use crate::shard::{Effect, Shard, TaskPhase};
use crate::work::{Outcome, WorkState};

impl Shard {
    /// Finds or makes the place of a reported task. Returns false if the report says nothing new.
    pub(super) fn locate(&mut self, worker: &WorkerId, task: &TaskId, phase: &TaskPhase) -> bool {
        let running = *phase == TaskPhase::Running;
        let Some(record) = self.works.get_mut(task.work()) else {
            self.on_orphan(worker, task, running);
            return false;
        };
        if let Some(place) = record.places.iter().find(|place| place.is(task, worker)) {
            return !place.is_finished();
        }
        let same = |place: &Place| place.member == task.index();
        if let Some(index) = record.places.iter().position(same) {
            let place = &record.places[index];
            if running && !place.is_finished() {
                let checked: Result<(), String> = Err(second_place(record, place, worker));
                self.check(ResultCode::PlaceInvariant, checked);
                return false;
            }
            if !running || !record.inherited {
                self.drop_report(worker, task, running);
                return false;
            }
            // An earlier owner started the member again after this attempt had ended.
            let earlier = record.places.remove(index);
            record.then.take_if(|then| *then == AfterStop::Requeue);
            let tasks = vec![earlier.task(task.work())];
            let worker = earlier.worker;
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
        let Some(record) = self.works.get_mut(task.work()) else {
            return false;
        };
        if !running && !record.inherited {
            // A late report about an attempt that was settled before.
            self.drop_report(worker, task, running);
            return false;
        }
        let run = self
            .workers
            .get(worker)
            .and_then(|holder| holder.incarnation);
        record.places.push(Place::found(task, worker.clone(), run));
        let queued = record.state == WorkState::Waiting;
        let charged = std::mem::replace(&mut record.charged, true);
        let (kind, team, need) = (record.spec.kind, record.spec.team.clone(), record.need());
        let queue = self.queue_of(task.work());
        if queued {
            queue.remove(task.work());
        }
        if !charged {
            queue.charge(kind, &team, need);
        }
        true
    }

    /// Lets a worker forget a task that no longer counts, or stops it.
    fn drop_report(&mut self, worker: &WorkerId, task: &TaskId, running: bool) {
        let (worker, task) = (worker.clone(), task.clone());
        self.effects.push(match running {
            true => Effect::Stop { worker, task },
            false => Effect::Acknowledge {
                worker,
                tasks: vec![task],
            },
        });
    }

    /// Handles a task whose work has no record.
    fn on_orphan(&mut self, worker: &WorkerId, task: &TaskId, running: bool) {
        let ended = self.journal.state().ended(task.work());
        let refused = ended.is_some_and(|ended| {
            matches!(&ended.outcome, Outcome::Refused(r) if r.class() == crate::RefusalClass::NotRun)
        });
        if running && refused {
            let text = format!("{task} runs on {worker} although it was refused as not run");
            self.halt(Refusal::new(ResultCode::RefusedInvariant, text));
            return;
        }
        self.drop_report(worker, task, running);
    }
}
