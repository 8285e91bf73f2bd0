use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{JobId, RunNumber, TaskKey};
use crate::job::TaskPhase;
use crate::run::{Run, RunPhase, RunningRow};
use crate::spec::StepSpec;

impl Core {
    /// Handles a listed run that is not in the run table: adopts it if its job needs it, such as one of an earlier owner, and
    /// stops it otherwise.
    pub(super) fn handle_unexpected_run(
        &mut self,
        slot: ExecutorSlot,
        active: &RunningRow,
        now: Timestamp,
    ) {
        let adopted = self.adopt(slot, active, now);
        let executor = &self.fleet.get(slot).entry.id;
        tracing::info!(task = %active.task, run = %active.number, %executor, adopted, "dispatch: executor lists an unexpected run, stopping it unless adopted");
        if adopted {
            return;
        }
        // A run of a job that has ended still takes its resources; one of an unknown job may take all of the executor's.
        let spec = self
            .jobs
            .get(active.task.job())
            .and_then(|job| job.step_spec(active.task.step()));
        let executor = self.fleet.get_mut(slot);
        let need = spec.map_or(executor.entry.capacity, StepSpec::reserved);
        executor.strays.insert(active.task, (active.number, need));
        match self.is_job_resolved(active.task.job()) {
            true => self.request_stop(slot, active.task, active.number),
            false => self.request_lookup(active.task.job(), now),
        }
    }

    fn adopt(&mut self, slot: ExecutorSlot, active: &RunningRow, now: Timestamp) -> bool {
        let task = active.task;
        let job = self.jobs.get(task.job());
        if self.runs.get(task).is_some()
            || !job.is_some_and(|job| job.is_live() && job.has_task(task))
        {
            return false;
        }
        self.jobs.begin_up_to(task.job(), task.step().occurrence());
        let Some(job) = self.jobs.get_mut(task.job()) else {
            return false;
        };
        let queue = self.policy.queue(job.record().queue());
        let spec = job.step_spec(task.step());
        let need = spec.map(StepSpec::reserved).unwrap_or_default();
        let yields_at = spec.and_then(|spec| Self::yields_at(spec, queue));
        let step = job.step_mut(task.step());
        let Some(step) = step.filter(|step| step.phase(task.index()) == Some(TaskPhase::Idle))
        else {
            return false;
        };
        step.set_phase(task.index(), TaskPhase::Active);
        step.used(task.index(), active.number);
        step.save(task.index(), active.checkpoint.clone());
        self.jobs.set_started(task.job());
        let run = Run {
            task,
            number: active.number,
            slot,
            need,
            phase: RunPhase::Running { since: now },
            ordered: now,
            yields_at,
            progress: (active.percent, now),
            life: self.fleet.get(slot).life,
        };
        self.runs.insert(run, &mut self.fleet);
        true
    }

    /// Adopts or stops the runs of a job that were listed before the job was known.
    pub(super) fn adopt_unexpected_runs(&mut self, id: JobId, now: Timestamp) {
        let slots: Vec<ExecutorSlot> = self.fleet.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let strays = &self.fleet.get(slot).strays;
            let of_job = strays.iter().filter(|(task, _)| task.job() == id);
            let found: Vec<(TaskKey, RunNumber)> =
                of_job.map(|(task, (n, _))| (*task, *n)).collect();
            for (task, number) in found {
                self.fleet.get_mut(slot).strays.remove(&task);
                let active = RunningRow {
                    task,
                    number,
                    checkpoint: None,
                    percent: 0,
                };
                self.handle_unexpected_run(slot, &active, now);
            }
        }
    }
}
