use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{JobId, RunNumber, TaskKey};
use crate::job::TaskPhase;
use crate::run::{ActiveRun, Run, RunPhase};
use crate::spec::StepSpec;

impl Core {
    /// Handles a listed run that is not in the run table: adopts it if its job needs it, such as one of an earlier owner, and
    /// stops it otherwise.
    pub(super) fn handle_unexpected_run(
        &mut self,
        slot: ExecutorSlot,
        active: &ActiveRun,
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
        executor
            .unexpected_runs
            .insert(active.task, (active.number, need));
        match self.is_job_resolved(active.task.job()) {
            true => self.request_stop(slot, active.task, active.number),
            false => self.request_lookup(active.task.job(), now),
        }
    }

    fn adopt(&mut self, slot: ExecutorSlot, active: &ActiveRun, now: Timestamp) -> bool {
        let task = active.task;
        let job = self.jobs.get(task.job());
        if self.runs.get(task).is_some()
            || !job.is_some_and(|job| job.is_live() && job.has_task(task))
        {
            return false;
        }
        self.jobs.begin_up_to(task.job(), task.step().occurrence());
        let preemptible_rank = self.preemptible_rank(task.step());
        let Some(job) = self.jobs.get_mut(task.job()) else {
            return false;
        };
        let spec = job.step_spec(task.step());
        let need = spec.map(StepSpec::reserved).unwrap_or_default();
        let is_long_running = job.is_long_running(task.step());
        let step = job.step_mut(task.step());
        let Some(step) = step.filter(|step| step.phase(task.index()) == Some(TaskPhase::Pending))
        else {
            return false;
        };
        step.set_phase(task.index(), TaskPhase::Active);
        step.raise_run_number(task.index(), active.number);
        step.save_checkpoint(task.index(), active.checkpoint.clone());
        self.jobs.set_started(task.job());
        let run = Run {
            task,
            number: active.number,
            slot,
            need,
            is_long_running,
            phase: RunPhase::Running { since: now },
            requested_at: now,
            preemptible_rank,
            progress: (active.percent, now),
            incarnation: self.fleet.get(slot).incarnation(),
        };
        self.runs.insert(run, &mut self.fleet);
        self.end_other_location(slot, task);
        true
    }

    /// Adopts or stops the runs of a job that were listed before the job was known.
    pub(super) fn adopt_unexpected_runs(&mut self, id: JobId, now: Timestamp) {
        let slots: Vec<ExecutorSlot> = self.fleet.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let unexpected_runs = &self.fleet.get(slot).unexpected_runs;
            let of_job = unexpected_runs.iter().filter(|(task, _)| task.job() == id);
            let found: Vec<(TaskKey, RunNumber)> =
                of_job.map(|(task, (n, _))| (*task, *n)).collect();
            for (task, number) in found {
                self.fleet.get_mut(slot).unexpected_runs.remove(&task);
                let active = ActiveRun {
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
