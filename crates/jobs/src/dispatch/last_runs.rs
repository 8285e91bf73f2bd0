//! The stored locations of long-running tasks, by which a later owner knows where a task may still run.

use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{JobId, StepKey, TaskKey};
use crate::job::{Job, LastRun, RunLocation, Step, TaskPhase};

/// Largest number of tasks of a step whose locations are stored. The progress of a job is one value, written as a whole.
const MAX_LOCATED_TASKS: u32 = 1_000;

impl Core {
    /// Returns true if no earlier run of a pending task can exist, or be counted on by a later owner.
    pub(super) fn may_start_again(
        &self,
        job: &Job,
        step: &Step,
        index: u32,
        inherited_blocked: bool,
    ) -> bool {
        match step.last_run(index) {
            Some(LastRun::At(_)) => false,
            Some(LastRun::Ended(record)) => self.write_queue.is_durable(job.id(), *record),
            None => !(inherited_blocked && job.inherited),
        }
    }

    /// Returns the indexes of the pending tasks of a step that may start.
    pub(super) fn startable_tasks(&self, key: StepKey, now: Timestamp) -> Vec<u32> {
        let inherited_blocked = self.inherited_work_may_run(now);
        let job = self.jobs.get(key.job());
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(key)?))) else {
            return Vec::new();
        };
        let startable = |index: &u32| self.may_start_again(job, step, *index, inherited_blocked);
        step.pending_tasks().filter(startable).collect()
    }

    /// Records where a run of a long-running task takes place, once its executor has listed it.
    pub(super) fn record_location(&mut self, slot: ExecutorSlot, task: TaskKey, now: Timestamp) {
        let executor = self.fleet.get(slot);
        let run = self.runs.get(task).filter(|run| run.is_running());
        let is_listed = run.is_some_and(|run| run.incarnation == executor.incarnation());
        let Some(incarnation) = executor.incarnation().filter(|_| is_listed) else {
            return;
        };
        let is_certain = now > self.earlier_requests_end && executor.clock.has_sole_clock(now);
        let Some(job) = self.jobs.get_mut(task.job()) else {
            return;
        };
        // Owners of earlier versions do not remove locations, but can't read records with a definition either.
        let is_maintained = job.record().definition().is_some();
        let spec = job.step_spec(task.step());
        let is_stored = spec.is_some_and(|s| s.long_running && s.count <= MAX_LOCATED_TASKS);
        if !is_certain || !is_maintained || !is_stored {
            return;
        }
        let location = RunLocation {
            executor: executor.entry.id.clone(),
            incarnation,
        };
        let step = job.step_mut(task.step());
        if step.is_some_and(|step| step.set_location(task.index(), location)) {
            self.write_queue.mark(task.job());
        }
    }

    /// Records that the run of a task has ended, if its location may be stored.
    pub(super) fn end_location(&mut self, task: TaskKey) {
        let job = self.jobs.get_mut(task.job());
        let Some(step) = job.and_then(|job| job.step_mut(task.step())) else {
            return;
        };
        if matches!(step.last_run(task.index()), Some(LastRun::At(_))) {
            let record = self.write_queue.mark(task.job());
            step.set_ended(task.index(), record);
        }
    }

    /// Ends the stored location of an adopted task, unless it names the incarnation that lists the run.
    pub(super) fn end_other_location(&mut self, slot: ExecutorSlot, task: TaskKey) {
        let executor = self.fleet.get(slot);
        let step = self
            .jobs
            .get(task.job())
            .and_then(|job| job.step(task.step()));
        if let Some(LastRun::At(location)) = step.and_then(|step| step.last_run(task.index()))
            && (location.executor != executor.entry.id
                || Some(location.incarnation) != executor.incarnation())
        {
            self.end_location(task);
        }
    }

    /// Remembers the locations that an earlier owner stored.
    pub(super) fn inherit_locations(&mut self, id: JobId) {
        let job = self.jobs.get(id);
        let located = job.into_iter().flat_map(Job::located_tasks);
        self.inherited_locations.extend(located);
    }

    /// Ends the inherited locations of tasks that can't run there any more: the executor has listed its runs without them,
    /// or all leases of earlier owners on the clock of that incarnation have expired.
    pub(super) fn settle_inherited_locations(&mut self, now: Timestamp) {
        for task in std::mem::take(&mut self.inherited_locations) {
            let Some(location) = self.pending_location(task) else {
                continue;
            };
            if self.may_run_at(location, now) {
                self.inherited_locations.insert(task);
                continue;
            }
            let executor = location.executor.clone();
            tracing::info!(%task, %executor, "dispatch: long-running task of an earlier owner no longer runs, it waits to be started again");
            self.end_location(task);
        }
    }

    /// Returns the inherited location of a task that was not adopted.
    fn pending_location(&self, task: TaskKey) -> Option<&RunLocation> {
        let step = self.jobs.get(task.job())?.step(task.step())?;
        let is_pending = step.phase(task.index()) == Some(TaskPhase::Pending);
        match step.last_run(task.index()) {
            Some(LastRun::At(location)) if is_pending => Some(location),
            _ => None,
        }
    }

    fn may_run_at(&self, location: &RunLocation, now: Timestamp) -> bool {
        match self.fleet.slot(&location.executor) {
            Some(slot) if self.unreported.contains(&slot) => {
                now <= self.located_lease_end || self.has_unlisted_ends(slot, now)
            }
            Some(_) => false,
            None => self.inherited_work_may_run(now),
        }
    }
}
