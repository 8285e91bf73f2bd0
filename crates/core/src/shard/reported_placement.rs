//! The placement that a worker's report refers to.

use crate::code::{Refusal, ResultCode};
use crate::id::{TaskId, WorkerId};
use crate::shard::after_stop::AfterStop;
use crate::shard::invariant::describe_duplicate;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::{Effect, Shard, TaskPhase};
use crate::work::{Outcome, WorkState};

impl Shard {
    /// Finds or adds the placement of a reported task. Returns false if the report needs no further handling.
    pub(super) fn find_or_add_placement(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        phase: &TaskPhase,
    ) -> bool {
        let running = *phase == TaskPhase::Running;
        let Some(record) = self.records.get_mut(task.work()) else {
            self.on_orphan(worker, task, running);
            return false;
        };
        if let Some(placement) = record
            .placements
            .iter()
            .find(|placement| placement.is(task, worker))
        {
            return !placement.is_finished();
        }
        let same = |placement: &TaskPlacement| placement.index == task.index();
        if let Some(index) = record.placements.iter().position(same) {
            let placement = &record.placements[index];
            if running && !placement.is_finished() {
                let checked: Result<(), String> =
                    Err(describe_duplicate(record, placement, worker));
                self.halt_on_error(ResultCode::PlaceInvariant, checked);
                return false;
            }
            if !running || !record.inherited {
                self.stop_or_acknowledge(worker, task, running);
                return false;
            }
            // An earlier owner started the task again after this attempt had ended.
            let earlier = record.placements.remove(index);
            record
                .after_stop
                .take_if(|after_stop| *after_stop == AfterStop::Requeue);
            let tasks = vec![earlier.task(task.work())];
            let worker = earlier.worker;
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
        let Some(record) = self.records.get_mut(task.work()) else {
            return false;
        };
        if !running && !record.inherited {
            // A late report about an attempt that was completed before.
            self.stop_or_acknowledge(worker, task, running);
            return false;
        }
        let incarnation = self
            .workers
            .get(worker)
            .and_then(|worker_record| worker_record.incarnation);
        record
            .placements
            .push(TaskPlacement::found(task, worker.clone(), incarnation));
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

    /// Stops a task that is no longer wanted, or acknowledges it if it does not run.
    fn stop_or_acknowledge(&mut self, worker: &WorkerId, task: &TaskId, running: bool) {
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
        self.stop_or_acknowledge(worker, task, running);
    }
}
