use std::collections::{BTreeMap, BTreeSet, HashMap};

use lagoon_core::unit::Timestamp;

use crate::id::{JobId, QueueName, StepKey};
use crate::job::{Job, JobState};

/// All jobs in the store, with an index of their open steps.
#[derive(Debug, Clone, Default)]
pub struct JobTable {
    jobs: HashMap<JobId, Job>,
    /// Jobs whose final state is durable, with that state and the time from which its retention counts.
    ended: HashMap<JobId, (JobState, Timestamp)>,
    open: BTreeSet<StepKey>,
    due: BTreeSet<(Timestamp, JobId)>,
    waiting: BTreeMap<QueueName, u32>,
}

impl JobTable {
    /// Adds a job. Returns false if it is already known.
    pub fn insert(&mut self, job: Job) -> bool {
        if self.is_known(job.id()) {
            return false;
        }
        if job.state() == JobState::Queued {
            *self
                .waiting
                .entry(job.record().queue().clone())
                .or_default() += 1;
        }
        let id = job.id();
        if job.is_live() {
            for occurrence in job.begun() {
                self.open.extend(job.open_steps(occurrence));
            }
            if let Some(due) = job.next_due() {
                self.due.insert((due, id));
            }
        }
        self.jobs.insert(id, job);
        true
    }

    /// Returns true if a job is known, whether it has ended or not.
    pub fn is_known(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id) || self.ended.contains_key(&id)
    }

    /// Adds a job that ended under an earlier owner.
    pub fn insert_ended(&mut self, id: JobId, state: JobState, now: Timestamp) {
        self.ended.insert(id, (state, now));
    }

    /// Drops everything but the final state of a job, once that state is durable.
    pub fn compact(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id)
            && !job.is_live()
        {
            self.ended.insert(id, (job.state(), job.ended_at));
            self.jobs.remove(&id);
        }
    }

    /// Returns the durable final state of a job.
    pub fn ended(&self, id: JobId) -> Option<JobState> {
        self.ended.get(&id).map(|(state, _)| *state)
    }

    /// Returns the jobs whose final state is durable, with the time from which its retention counts.
    pub fn all_ended(&self) -> impl Iterator<Item = (JobId, Timestamp)> {
        self.ended.iter().map(|(id, (_, at))| (*id, *at))
    }

    /// Returns a job without a durable final state.
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns a mutable reference to a job without a durable final state.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Begins the occurrences that are due.
    pub fn begin_due(&mut self, now: Timestamp) {
        while let Some(&(due, id)) = self.due.first()
            && due <= now
        {
            self.due.pop_first();
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_live()) else {
                continue;
            };
            let occurrence = job.begin_occurrence();
            self.open.extend(job.open_steps(occurrence));
            if let Some(next) = job.next_due() {
                self.due.insert((next, id));
            }
        }
    }

    /// Begins the occurrences of a job up to one that has run. By this process's clock it may not be due yet, if the
    /// clock of an earlier owner was ahead.
    pub fn begin_up_to(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_live()) else {
            return;
        };
        if let Some(due) = job.next_due() {
            self.due.remove(&(due, id));
        }
        for begun in job.begin_up_to(occurrence) {
            self.open.extend(job.open_steps(begun));
        }
        if let Some(next) = job.next_due() {
            self.due.insert((next, id));
        }
    }

    /// Returns the open steps of all jobs.
    pub fn open_steps(&self) -> impl Iterator<Item = StepKey> {
        self.open.iter().copied()
    }

    /// Records that a task of a job has started.
    pub fn set_started(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state() == JobState::Queued {
            decrement(&mut self.waiting, job.record().queue());
        }
        job.set_started();
    }

    /// Closes a step that is done and opens the steps that depend on it.
    pub fn step_done(&mut self, key: StepKey) {
        self.open.remove(&key);
        if let Some(job) = self.jobs.get(&key.job()) {
            self.open.extend(job.open_steps(key.occurrence()));
        }
    }

    /// Sets the final state of a job and closes its steps.
    pub fn end(&mut self, id: JobId, outcome: JobState, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.state() == JobState::Queued {
            decrement(&mut self.waiting, job.record().queue());
        }
        job.end(outcome, now);
        let first = StepKey::new(id, 0, 0);
        let last = StepKey::new(id, u32::MAX, u16::MAX);
        let closed: Vec<StepKey> = self.open.range(first..=last).copied().collect();
        for key in closed {
            self.open.remove(&key);
        }
    }

    /// Forgets a job.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.remove(&id);
        self.ended.remove(&id);
    }

    /// Returns the number of jobs without a started task, by queue.
    pub fn waiting(&self) -> &BTreeMap<QueueName, u32> {
        &self.waiting
    }

    /// Returns all jobs without a durable final state.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }
}

fn decrement(waiting: &mut BTreeMap<QueueName, u32>, queue: &QueueName) {
    if let Some(count) = waiting.get_mut(queue) {
        *count = count.saturating_sub(1);
    }
}
