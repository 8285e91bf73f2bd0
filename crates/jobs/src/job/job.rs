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
    /// Change that has to be durable before the outcome is shown.
    pub end_record: RecordNumber,
    /// When the outcome was reached.
    pub ended_at: Timestamp,
    /// Time by which the job should end.
    pub objective: Timestamp,
    /// It was read back from the store, so earlier owners may have started its tasks.
    pub inherited: bool,
}

impl Job {
    /// Takes in a job of which nothing has run.
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

    /// Returns what was accepted.
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

    /// Tells whether tasks may still start.
    pub fn is_live(&self) -> bool {
        self.outcome.is_none()
    }

    /// Notes that a task has started.
    pub fn set_started(&mut self) {
        self.started = true;
    }

    /// Sets the final state and drops what only a live job needs.
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
            // Due at once: the time of acceptance was read from the clock of another node, which may be ahead.
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
            .map(|(number, round)| (*number, round))
    }

    /// Begins the occurrences up to one that has run, whatever the time; returns those that had not begun.
    pub fn begin_up_to(&mut self, occurrence: u32) -> Vec<u32> {
        let mut begun = Vec::new();
        while self.next_due().is_some() && self.next_occurrence <= occurrence {
            begun.push(self.begin_occurrence());
        }
        begun
    }

    /// Returns an occurrence that has begun.
    pub fn round(&self, occurrence: u32) -> Option<&Occurrence> {
        self.occurrences.get(&occurrence)
    }

    /// Returns a step of an occurrence that has begun.
    pub fn step(&self, key: StepKey) -> Option<&Step> {
        self.round(key.occurrence())?
            .steps
            .get(usize::from(key.step()))
    }

    /// Returns a step of an occurrence that has begun, to change it.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut Step> {
        let round = self.occurrences.get_mut(&key.occurrence())?;
        round.steps.get_mut(usize::from(key.step()))
    }

    /// Returns what the caller declared of a step.
    pub fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        self.record.spec().steps().get(usize::from(key.step()))
    }

    /// Tells whether the tasks of a step run until the job is cancelled.
    pub fn is_long_running(&self, key: StepKey) -> bool {
        self.step_spec(key).is_some_and(|spec| spec.long_running)
    }

    /// Tells whether a task belongs to the job.
    pub fn has_task(&self, task: TaskKey) -> bool {
        let spec = self.step_spec(task.step());
        let schedule = self.record.spec().schedule();
        let occurrences = schedule.map_or(1, |schedule| schedule.occurrences);
        task.step().occurrence() < occurrences && spec.is_some_and(|spec| task.index() < spec.count)
    }

    /// Returns steps of an occurrence whose earlier steps are done and which are not done.
    pub fn open_steps(&self, occurrence: u32) -> Vec<StepKey> {
        let Some(round) = self.occurrences.get(&occurrence) else {
            return Vec::new();
        };
        let is_open = |step: &u16| {
            !round.steps[usize::from(*step)].is_done()
                && round.is_unlocked(*step, self.record.spec())
        };
        (0..round.steps.len() as u16)
            .filter(is_open)
            .map(|step| StepKey::new(self.id, occurrence, step))
            .collect()
    }

    /// Tells whether every occurrence has begun and is done.
    pub fn is_complete(&self) -> bool {
        self.next_due().is_none() && self.occurrences.values().all(Occurrence::is_done)
    }

    /// Returns the numbers of the occurrences that have begun.
    pub fn begun(&self) -> Vec<u32> {
        self.occurrences.keys().copied().collect()
    }

    /// Returns what has to be durable.
    pub fn progress(&self) -> Progress {
        let mut steps = Vec::new();
        for (occurrence, round) in &self.occurrences {
            let numbered = (0..).zip(&round.steps);
            steps.extend(numbered.filter_map(|(i, step)| step.progress(*occurrence, i)));
        }
        let outcome = self.outcome;
        Progress { outcome, steps }
    }

    /// Takes over what an earlier owner recorded; occurrences that had ends begin again.
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
