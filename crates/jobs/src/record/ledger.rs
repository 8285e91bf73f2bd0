use std::collections::{HashMap, VecDeque};

use crate::id::JobId;
use crate::record::RecordNumber;

/// Jobs whose progress changed since it was last written.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    last: RecordNumber,
    changed: HashMap<JobId, RecordNumber>,
    durable: HashMap<JobId, RecordNumber>,
    queue: VecDeque<JobId>,
}

impl Ledger {
    /// Notes a change of a job; it is durable once this number is.
    pub fn mark(&mut self, job: JobId) -> RecordNumber {
        self.last = self.last.next();
        let is_queued = self.changed.insert(job, self.last).is_some();
        if !is_queued {
            self.queue.push_back(job);
        }
        self.last
    }

    /// Takes up to `max` changed jobs for one write, longest waiting first.
    pub fn take(&mut self, max: usize) -> Vec<(JobId, RecordNumber)> {
        let count = self.queue.len().min(max);
        let jobs = self.queue.drain(..count);
        let changed = &mut self.changed;
        jobs.filter_map(|job| Some((job, changed.remove(&job)?)))
            .collect()
    }

    /// Notes that a write took effect.
    pub fn written(&mut self, jobs: &[(JobId, RecordNumber)]) {
        self.durable.extend(jobs.iter().copied());
    }

    /// Puts the jobs of a write that failed back, before the others.
    pub fn put_back(&mut self, jobs: &[(JobId, RecordNumber)]) {
        for (job, number) in jobs.iter().rev() {
            if !self.changed.contains_key(job) {
                self.changed.insert(*job, *number);
                self.queue.push_front(*job);
            }
        }
    }

    /// Tells whether a change is durable.
    pub fn is_durable(&self, job: JobId, number: RecordNumber) -> bool {
        number == RecordNumber::default() || self.durable.get(&job).is_some_and(|n| *n >= number)
    }

    /// Tells whether something waits to be written.
    pub fn has_changes(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the number of jobs that wait to be written.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Forgets a job that was removed from the store.
    pub fn forget(&mut self, job: JobId) {
        self.durable.remove(&job);
    }
}
