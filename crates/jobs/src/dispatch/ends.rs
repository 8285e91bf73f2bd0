use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{JobId, StepKey, TaskKey};
use crate::job::{JobState, TaskPhase};
use crate::record::RecordNumber;
use crate::run::{EndedRun, RunOutcome};

impl Core {
    /// Applies an end that an executor lists, and records what has to be durable before the end is acknowledged.
    pub(super) fn handle_end(&mut self, slot: ExecutorSlot, end: &EndedRun, now: Timestamp) {
        let record = self.apply_end(slot, end, now);
        let executor = self.fleet.get_mut(slot);
        executor
            .ends
            .mark_handled(end.sequence, end.task.job(), record);
    }

    /// Applies an end that an executor lists. Returns the record that has to be durable before the end is acknowledged.
    fn apply_end(&mut self, slot: ExecutorSlot, end: &EndedRun, now: Timestamp) -> RecordNumber {
        let task = end.task;
        let started = self
            .runs
            .matching(task, end.number, slot)
            .map(|run| run.requested_at);
        if started.is_some() {
            self.drop_run(task);
        }
        self.update_health(slot, end.outcome, now);
        let live = self.jobs.get(task.job()).filter(|job| job.is_live());
        let Some(job) = live.filter(|job| job.has_task(task)) else {
            return self.final_record(task.job());
        };
        let queue = job.record().queue().clone();
        self.jobs.begin_up_to(task.job(), task.step().occurrence());
        if let (RunOutcome::Done, Some(started)) = (end.outcome, started) {
            self.times.record(&queue, now.since(started));
        }
        tracing::info!(
            task = %task, run = %end.number, executor = %self.fleet.get(slot).entry.id,
            how = ?end.outcome, ran_ms = started.map(|at| now.since(at).get()), "dispatch: run ended"
        );
        self.record_attempt(task, end);
        match end.outcome {
            RunOutcome::Done => self.task_done(task, now),
            RunOutcome::Failed => self.check_failures(task, now),
            RunOutcome::GangBroken | RunOutcome::GangIncomplete => {
                // The other tasks of the gang can't continue without this one.
                if self.is_gang(task.step()) {
                    self.stop_step(task);
                }
            }
            RunOutcome::Stopped | RunOutcome::Lapsed => {}
        }
        match self
            .jobs
            .get(task.job())
            .map(|job| (job.is_live(), job.end_record))
        {
            Some((false, end_record)) => end_record,
            _ => self.write_queue.mark(task.job()),
        }
    }

    fn record_attempt(&mut self, task: TaskKey, end: &EndedRun) {
        let Some(job) = self.jobs.get_mut(task.job()) else {
            return;
        };
        let long_running = job.is_long_running(task.step());
        let Some(step) = job.step_mut(task.step()) else {
            return;
        };
        step.raise_run_number(task.index(), end.number);
        step.save_checkpoint(task.index(), end.checkpoint.clone());
        if end.outcome == RunOutcome::Failed && !long_running {
            step.attempts_mut(task.index()).record_failure(end.number);
        }
    }

    fn task_done(&mut self, task: TaskKey, now: Timestamp) {
        self.jobs.set_started(task.job());
        let Some(job) = self.jobs.get_mut(task.job()) else {
            return;
        };
        let long_running = job.is_long_running(task.step());
        let Some(step) = job.step_mut(task.step()) else {
            return;
        };
        if long_running {
            // A long-running task runs until its job is cancelled, however its runs end.
            return;
        }
        match step.is_gang() {
            true => step.complete(),
            false => step.set_phase(task.index(), TaskPhase::Done),
        }
        let step_done = step.is_done();
        let job_done = step_done && job.is_complete();
        if !self.is_gang(task.step()) {
            // Any other run of the task is a duplicate.
            self.stop(task);
        }
        if step_done {
            self.advice.forget(task.step());
            self.jobs.step_done(task.step());
        }
        if job_done {
            self.end_job(task.job(), JobState::Done, now);
        }
    }

    fn check_failures(&mut self, task: TaskKey, now: Timestamp) {
        if self.is_gang(task.step()) {
            self.stop_step(task);
        }
        let Some(job) = self.jobs.get(task.job()) else {
            return;
        };
        let (Some(queue), Some(step)) = (self.queue_of(job), job.step(task.step())) else {
            return;
        };
        let failures = step.attempts(task.index()).failures();
        if failures >= queue.max_failures {
            tracing::info!(job = %task.job(), %task, failures, "dispatch: job failed, a task has used all its attempts");
            self.end_job(task.job(), JobState::Failed, now);
        }
    }

    /// Sets the final state of a job and stops its runs.
    pub(super) fn end_job(&mut self, id: JobId, outcome: JobState, now: Timestamp) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let steps: Vec<StepKey> = job
            .begun()
            .iter()
            .flat_map(|k| job.open_steps(*k))
            .collect();
        steps.into_iter().for_each(|step| self.advice.forget(step));
        self.jobs.end(id, outcome, now);
        let record = self.write_queue.mark_ended(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.end_record = record;
            tracing::info!(job = %id, state = %outcome, after_ms = now.since(job.record().accepted()).get(), "dispatch: job ended");
        }
        if outcome == JobState::Done {
            // The other tasks of a gang end by themselves, together with the one that was listed.
            return;
        }
        let tasks: Vec<TaskKey> = self.runs.of_job(id).map(|run| run.task).collect();
        tasks.into_iter().for_each(|task| self.stop(task));
    }

    pub(super) fn is_gang(&self, key: StepKey) -> bool {
        let spec = self.jobs.get(key.job()).and_then(|job| job.step_spec(key));
        spec.is_some_and(|spec| spec.gang)
    }

    fn final_record(&self, id: JobId) -> RecordNumber {
        self.jobs
            .get(id)
            .map(|job| job.end_record)
            .unwrap_or_default()
    }

    fn update_health(&mut self, slot: ExecutorSlot, outcome: RunOutcome, now: Timestamp) {
        let executor = self.fleet.get_mut(slot);
        if outcome == RunOutcome::Done {
            executor.health.record_success();
        }
        if outcome == RunOutcome::Failed && executor.health.record_failure(now) {
            tracing::warn!(executor = %executor.entry.id, "dispatch: consecutive runs failed on an executor, it gets no new runs for now");
        }
    }
}
