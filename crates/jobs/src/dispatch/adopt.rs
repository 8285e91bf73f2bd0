use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{JobId, RunNumber, TaskKey};
use crate::job::TaskPhase;
use crate::run::{ActiveRun, Run, RunPhase};
use crate::spec::StepSpec;

impl Core {
    /// Adopts a run that its job needs, such as one of an earlier owner, and stops any other.
    pub(super) fn apply_unknown_row(
        &mut self,
        slot: ExecutorSlot,
        row: &ActiveRun,
        now: Timestamp,
    ) {
        let adopted = self.adopt(slot, row, now);
        let executor = &self.fleet.get(slot).entry.id;
        tracing::info!(task = %row.task, run = %row.number, %executor, adopted, "dispatch: unexpected run listed");
        if adopted {
            return;
        }
        // A run of a job that has ended takes its room as well; one of an unknown job may take all of it.
        let spec = self
            .jobs
            .get(row.task.job())
            .and_then(|job| job.step_spec(row.task.step()));
        let executor = self.fleet.get_mut(slot);
        let need = spec.map_or(executor.entry.capacity, StepSpec::reserved);
        executor
            .unexpected_runs
            .insert(row.task, (row.number, need));
        match self.is_settled_job(row.task.job()) {
            true => self.order_stop(slot, row.task, row.number),
            false => self.look_for(row.task.job(), now),
        }
    }

    fn adopt(&mut self, slot: ExecutorSlot, row: &ActiveRun, now: Timestamp) -> bool {
        let task = row.task;
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
        let preemptible_rank = spec.and_then(|spec| Self::preemptible_rank(spec, queue));
        let step = job.step_mut(task.step());
        let Some(step) = step.filter(|step| step.phase(task.index()) == Some(TaskPhase::Pending))
        else {
            return false;
        };
        step.set_phase(task.index(), TaskPhase::Active);
        step.raise_run_number(task.index(), row.number);
        step.save_checkpoint(task.index(), row.checkpoint.clone());
        self.jobs.set_started(task.job());
        let run = Run {
            task,
            number: row.number,
            slot,
            need,
            phase: RunPhase::Running { since: now },
            ordered_at: now,
            preemptible_rank,
            progress: (row.percent, now),
            incarnation: self.fleet.get(slot).incarnation,
        };
        self.runs.insert(run, &mut self.fleet);
        true
    }

    /// Adopts runs of a job that were listed before the job was known.
    pub(super) fn adopt_strays(&mut self, id: JobId, now: Timestamp) {
        let slots: Vec<ExecutorSlot> = self.fleet.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let unexpected_runs = &self.fleet.get(slot).unexpected_runs;
            let of_job = unexpected_runs.iter().filter(|(task, _)| task.job() == id);
            let found: Vec<(TaskKey, RunNumber)> =
                of_job.map(|(task, (n, _))| (*task, *n)).collect();
            for (task, number) in found {
                self.fleet.get_mut(slot).unexpected_runs.remove(&task);
                let row = ActiveRun {
                    task,
                    number,
                    checkpoint: None,
                    percent: 0,
                };
                self.apply_unknown_row(slot, &row, now);
            }
        }
    }
}
