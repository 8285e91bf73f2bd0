use std::collections::BTreeMap;

use crate::id::{Checkpoint, RunNumber};
use crate::job::{
    AttemptProgress, Attempts, LastRun, LocationProgress, RunLocation, StepProgress, TaskPhase,
};
use crate::record::RecordNumber;
use crate::spec::StepSpec;

/// State of one step of one occurrence.
#[derive(Debug, Clone)]
pub struct Step {
    phases: Vec<TaskPhase>,
    attempts: Vec<Attempts>,
    /// Last runs of long-running tasks, as far as known.
    last_runs: BTreeMap<u32, LastRun>,
    pending: u32,
    done: u32,
    is_gang: bool,
}

impl Step {
    pub(crate) fn new(spec: &StepSpec) -> Self {
        let count = spec.count as usize;
        let attempts = if spec.gang { 1 } else { count };
        Self {
            phases: vec![TaskPhase::Pending; count],
            attempts: vec![Attempts::default(); attempts],
            last_runs: BTreeMap::new(),
            pending: spec.count,
            done: 0,
            is_gang: spec.gang,
        }
    }

    /// Returns the phase of a task, or `None` if the step has no such task.
    pub fn phase(&self, index: u32) -> Option<TaskPhase> {
        self.phases.get(index as usize).copied()
    }

    /// Moves a task to a phase. A task that is done stays done.
    pub fn set_phase(&mut self, index: u32, phase: TaskPhase) {
        let Some(current) = self.phases.get_mut(index as usize) else {
            return;
        };
        if *current == TaskPhase::Done || *current == phase {
            return;
        }
        match *current {
            TaskPhase::Pending => self.pending -= 1,
            TaskPhase::Active | TaskPhase::Done => {}
        }
        match phase {
            TaskPhase::Pending => self.pending += 1,
            TaskPhase::Done => self.done += 1,
            TaskPhase::Active => {}
        }
        *current = phase;
    }

    /// Marks all tasks as done. The tasks of a gang end together, so that the end of one counts for all.
    pub fn complete(&mut self) {
        for index in 0..self.phases.len() as u32 {
            self.set_phase(index, TaskPhase::Done);
        }
    }

    /// Returns the attempts of a task, or of its gang.
    pub fn attempts(&self, index: u32) -> &Attempts {
        &self.attempts[self.attempt_index(index)]
    }

    /// Returns a mutable reference to the attempts of a task, or of its gang.
    pub fn attempts_mut(&mut self, index: u32) -> &mut Attempts {
        let i = self.attempt_index(index);
        &mut self.attempts[i]
    }

    /// Returns what is known of the last run of a long-running task.
    pub fn last_run(&self, index: u32) -> Option<&LastRun> {
        self.last_runs.get(&index)
    }

    /// Returns the indexes of the tasks with a location.
    pub fn located_tasks(&self) -> impl Iterator<Item = u32> {
        self.locations().map(|(index, _)| index)
    }

    /// Records where a task runs. Returns false if that was known.
    pub fn set_location(&mut self, index: u32, location: RunLocation) -> bool {
        let at = LastRun::At(location);
        let is_new = self.last_run(index) != Some(&at);
        self.last_runs.insert(index, at);
        is_new
    }

    /// Records that the last run of a task has ended, in a record that has to be durable before the next start.
    pub fn set_ended(&mut self, index: u32, record: RecordNumber) {
        self.last_runs.insert(index, LastRun::Ended(record));
    }

    /// Returns the indexes of the tasks that wait to be started.
    pub fn pending_tasks(&self) -> impl Iterator<Item = u32> {
        let indexed = (0..).zip(&self.phases);
        indexed.filter_map(|(i, phase)| (*phase == TaskPhase::Pending).then_some(i))
    }

    /// Returns the number of tasks that wait to be started.
    pub fn pending(&self) -> u32 {
        self.pending
    }

    /// Returns the number of tasks.
    pub fn count(&self) -> u32 {
        self.phases.len() as u32
    }

    /// Returns true if all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done == self.count()
    }

    /// Returns true if the tasks are a gang.
    pub fn is_gang(&self) -> bool {
        self.is_gang
    }

    /// Keeps saved progress for the next run. `None` leaves what was saved before.
    pub fn save_checkpoint(&mut self, index: u32, checkpoint: Option<Checkpoint>) {
        if checkpoint.is_some() {
            self.attempts_mut(index).checkpoint = checkpoint;
        }
    }

    /// Records a run number that is in use, so that the next run gets a higher one.
    pub fn raise_run_number(&mut self, index: u32, number: RunNumber) {
        let attempts = self.attempts_mut(index);
        attempts.last = attempts.last.max(number);
    }

    pub(crate) fn progress(&self, occurrence: u32, step: u16) -> Option<StepProgress> {
        let done = done_ranges(&self.phases);
        let attempts: Vec<AttemptProgress> = (0..)
            .zip(&self.attempts)
            .filter_map(attempt_progress)
            .collect();
        let locations: Vec<LocationProgress> = self
            .locations()
            .map(|(index, location)| LocationProgress {
                index,
                location: location.clone(),
            })
            .collect();
        let is_empty = done.is_empty() && attempts.is_empty() && locations.is_empty();
        (!is_empty).then_some(StepProgress {
            occurrence,
            step,
            done,
            attempts,
            locations,
        })
    }

    pub(crate) fn restore(&mut self, progress: &StepProgress) {
        for &(first, last) in &progress.done {
            let last = last.min(self.count().saturating_sub(1));
            (first..=last).for_each(|index| self.set_phase(index, TaskPhase::Done));
        }
        for stored in &progress.attempts {
            if let Some(attempts) = self.attempts.get_mut(stored.index as usize) {
                attempts.failed = stored.failed.clone();
                attempts.checkpoint = stored.checkpoint.clone();
            }
        }
        for stored in &progress.locations {
            if stored.index < self.count() {
                self.set_location(stored.index, stored.location.clone());
            }
        }
    }

    fn locations(&self) -> impl Iterator<Item = (u32, &RunLocation)> {
        self.last_runs.iter().filter_map(|(index, run)| match run {
            LastRun::At(location) => Some((*index, location)),
            LastRun::Ended(_) => None,
        })
    }

    fn attempt_index(&self, index: u32) -> usize {
        if self.is_gang { 0 } else { index as usize }
    }
}

fn attempt_progress((index, attempts): (u32, &Attempts)) -> Option<AttemptProgress> {
    let is_empty = attempts.failed.is_empty() && attempts.checkpoint.is_none();
    (!is_empty).then(|| AttemptProgress {
        index,
        failed: attempts.failed.clone(),
        checkpoint: attempts.checkpoint.clone(),
    })
}

fn done_ranges(phases: &[TaskPhase]) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for (index, phase) in (0..).zip(phases) {
        if *phase != TaskPhase::Done {
            continue;
        }
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == index => *last = index,
            _ => ranges.push((index, index)),
        }
    }
    ranges
}
