use std::collections::BTreeMap;

use crate::fleet::{ExecutorSlot, Fleet};
use crate::id::{JobId, RunNumber, StepKey, TaskKey};
use crate::run::Run;

/// All runs that exist or may exist, at most one per task.
///
/// Adding and removing a run also reserves and releases its resources, so that runs and reservations always agree.
#[derive(Debug, Clone, Default)]
pub struct RunTable {
    runs: BTreeMap<TaskKey, Run>,
}

impl RunTable {
    /// Adds a run and reserves its resources. The task must not have another run.
    pub fn insert(&mut self, run: Run, fleet: &mut Fleet) {
        debug_assert!(
            !self.runs.contains_key(&run.task),
            "task {} already has a run",
            run.task
        );
        fleet.get_mut(run.slot).reserve(&run);
        self.runs.insert(run.task, run);
    }

    /// Removes the run of a task and releases its resources.
    pub fn remove(&mut self, task: TaskKey, fleet: &mut Fleet) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        fleet.get_mut(run.slot).release(&run);
        Some(run)
    }

    /// Returns the run of a task.
    pub fn get(&self, task: TaskKey) -> Option<&Run> {
        self.runs.get(&task)
    }

    /// Returns a mutable reference to the run of a task.
    pub fn get_mut(&mut self, task: TaskKey) -> Option<&mut Run> {
        self.runs.get_mut(&task)
    }

    /// Returns the run of a task if it has this number and is on this executor.
    pub fn matching(
        &mut self,
        task: TaskKey,
        number: RunNumber,
        slot: ExecutorSlot,
    ) -> Option<&mut Run> {
        let run = self.runs.get_mut(&task)?;
        (run.number == number && run.slot == slot).then_some(run)
    }

    /// Returns the runs of a step.
    pub fn of_step(&self, step: StepKey) -> impl Iterator<Item = &Run> {
        let range = step.task(0)..=step.task(u32::MAX);
        self.runs.range(range).map(|(_, run)| run)
    }

    /// Returns the runs of a job.
    pub fn of_job(&self, job: JobId) -> impl Iterator<Item = &Run> {
        let first = StepKey::new(job, 0, 0).task(0);
        let last = StepKey::new(job, u32::MAX, u16::MAX).task(u32::MAX);
        self.runs.range(first..=last).map(|(_, run)| run)
    }

    /// Returns all runs.
    pub fn iter(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns true if there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
