use std::collections::BTreeMap;

use lagoon_core::unit::Timestamp;

use crate::id::{JobId, StepKey, TaskKey};
use crate::job::{JobRecord, JobState, Occurrence, Progress, Step};
use crate::record::RecordNumber;
use crate::spec::StepSpec;

/// An accepted job.
#[derive(Debug, Clone)]
pub struct Job {
    id: JobId,
    record: JobRecord,
    occurrences: BTreeMap<u32, Occurrence>,
    next_occurrence: u32,
    outcome: Option<JobState>,
    started: bool,
    /// Record that has to be durable before the outcome is shown.
    pub end_record: RecordNumber,
    /// When the outcome was reached.
    pub ended_at: Timestamp,
    /// Time by which the job should end.
    pub objective: Timestamp,
    /// It was loaded from the store, so that earlier owners may have started its tasks.
    pub inherited: bool,
}

impl Job {
    /// Creates a job without runs.
    pub fn new(id: JobId, record: JobRecord) -> Self {
        Self {
            id,
            objective: record.accepted(),
            record,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            outcome: None,
            started: false,
            end_record: RecordNumber::default(),
            ended_at: Timestamp::default(),
            inherited: false,
        }
    }

    /// Returns the id.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Returns the stored record of the job.
    pub fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Returns the state, whether or not it is durable.
    pub fn state(&self) -> JobState {
        match (self.outcome, self.started) {
            (Some(outcome), _) => outcome,
            (None, true) => JobState::Running,
            (None, false) => JobState::Queued,
        }
    }

    /// Returns true if the job has no outcome, so that tasks may still start.
    pub fn is_live(&self) -> bool {
        self.outcome.is_none()
    }

    /// Records that a task has started.
    pub fn set_started(&mut self) {
        self.started = true;
    }

    /// Sets the final state and drops the occurrences.
    pub fn end(&mut self, outcome: JobState, now: Timestamp) {
        self.outcome = Some(outcome);
        self.ended_at = now;
        self.occurrences.clear();
    }

    /// Returns when the next occurrence begins; `None` if all have begun.
    pub fn next_due(&self) -> Option<Timestamp> {
        match self.record.spec().schedule() {
            Some(schedule) if self.next_occurrence < schedule.occurrences => {
                Some(schedule.due(self.next_occurrence))
            }
            Some(_) => None,
            // Due at once, rather than at the time of acceptance: that is from the clock of another node, which may be
            // ahead.
            None => (self.next_occurrence == 0).then_some(Timestamp::default()),
        }
    }

    /// Begins the next occurrence; returns its number.
    pub fn begin_occurrence(&mut self) -> u32 {
        let number = self.next_occurrence;
        self.occurrences
            .insert(number, Occurrence::new(self.record.spec()));
        self.next_occurrence += 1;
        number
    }

    /// Returns the occurrences that have begun, with their numbers.
    pub fn occurrences(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.occurrences
            .iter()
            .map(|(number, occurrence)| (*number, occurrence))
    }

    /// Begins all occurrences up to `occurrence`, even before their time, and returns the numbers of those that it
    /// began.
    pub fn begin_up_to(&mut self, occurrence: u32) -> Vec<u32> {
        let mut begun = Vec::new();
        while self.next_due().is_some() && self.next_occurrence <= occurrence {
            begun.push(self.begin_occurrence());
        }
        begun
    }

    /// Returns an occurrence that has begun.
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.get(&number)
    }

    /// Returns a step of an occurrence that has begun.
    pub fn step(&self, key: StepKey) -> Option<&Step> {
        self.occurrence(key.occurrence())?
            .steps
            .get(usize::from(key.step()))
    }

    /// Returns a mutable reference to a step of an occurrence that has begun.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(&key.occurrence())?;
        occurrence.steps.get_mut(usize::from(key.step()))
    }

    /// Returns the specification of a step.
    pub fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        self.record.spec().steps().get(usize::from(key.step()))
    }

    /// Returns true if the tasks of a step run until the job is cancelled.
    pub fn is_long_running(&self, key: StepKey) -> bool {
        self.step_spec(key).is_some_and(|spec| spec.long_running)
    }

    /// Returns the tasks with a location.
    pub fn located_tasks(&self) -> impl Iterator<Item = TaskKey> {
        self.occurrences().flat_map(move |(number, occurrence)| {
            (0..).zip(&occurrence.steps).flat_map(move |(i, step)| {
                let key = StepKey::new(self.id, number, i);
                step.located_tasks().map(move |index| key.task(index))
            })
        })
    }

    /// Returns true if the job has this task.
    pub fn has_task(&self, task: TaskKey) -> bool {
        let spec = self.step_spec(task.step());
        let schedule = self.record.spec().schedule();
        let occurrences = schedule.map_or(1, |schedule| schedule.occurrences);
        task.step().occurrence() < occurrences && spec.is_some_and(|spec| task.index() < spec.count)
    }

    /// Returns the open steps of an occurrence: those that are not done and whose dependencies are.
    pub fn open_steps(&self, number: u32) -> Vec<StepKey> {
        let Some(occurrence) = self.occurrences.get(&number) else {
            return Vec::new();
        };
        let is_open = |step: &u16| {
            !occurrence.steps[usize::from(*step)].is_done()
                && occurrence.has_dependencies_done(*step, self.record.spec())
        };
        (0..occurrence.steps.len() as u16)
            .filter(is_open)
            .map(|step| StepKey::new(self.id, number, step))
            .collect()
    }

    /// Returns true if every occurrence has begun and is done.
    pub fn is_complete(&self) -> bool {
        self.next_due().is_none() && self.occurrences.values().all(Occurrence::is_done)
    }

    /// Returns the numbers of the occurrences that have begun.
    pub fn begun(&self) -> Vec<u32> {
        self.occurrences.keys().copied().collect()
    }

    /// Returns the progress to be stored.
    pub fn progress(&self) -> Progress {
        let mut steps = Vec::new();
        for (number, occurrence) in &self.occurrences {
            let numbered = (0..).zip(&occurrence.steps);
            steps.extend(numbered.filter_map(|(i, step)| step.progress(*number, i)));
        }
        let outcome = self.outcome;
        Progress { outcome, steps }
    }

    /// Restores the progress that an earlier owner stored, and begins the occurrences that it contains.
    pub fn restore(&mut self, progress: &Progress, now: Timestamp) {
        if let Some(outcome) = progress.outcome {
            self.end(outcome, now);
            return;
        }
        if let Some(last) = progress.steps.iter().map(|step| step.occurrence).max() {
            self.begin_up_to(last);
        }
        for stored in &progress.steps {
            let key = StepKey::new(self.id, stored.occurrence, stored.step);
            if let Some(step) = self.step_mut(key) {
                step.restore(stored);
                self.started = true;
            }
        }
    }
}
