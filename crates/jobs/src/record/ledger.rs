use std::collections::{HashMap, VecDeque};

use crate::id::JobId;
use crate::record::{RecordLane, RecordNumber};

/// Jobs whose progress changed since it was last written.
#[derive(Debug, Clone)]
pub struct Ledger {
    last: RecordNumber,
    changed: HashMap<JobId, RecordNumber>,
    durable: HashMap<JobId, RecordNumber>,
    /// Changed jobs of each lane, longest waiting first.
    queues: Vec<VecDeque<JobId>>,
}

impl Ledger {
    /// Starts empty, with a number of lanes.
    pub fn new(lanes: usize) -> Self {
        Self {
            last: RecordNumber::default(),
            changed: HashMap::new(),
            durable: HashMap::new(),
            queues: vec![VecDeque::new(); lanes.clamp(1, RecordLane::COUNT)],
        }
    }

    /// Notes a change of a job; it is durable once this number is.
    pub fn mark(&mut self, job: JobId) -> RecordNumber {
        self.last = self.last.next();
        let is_queued = self.changed.insert(job, self.last).is_some();
        if !is_queued {
            self.queue(job).push_back(job);
        }
        self.last
    }

    /// Takes up to `max` changed jobs of a lane for one write, longest waiting first.
    pub fn take(&mut self, lane: RecordLane, max: usize) -> Vec<(JobId, RecordNumber)> {
        let Some(queue) = self.queues.get_mut(lane.index()) else {
            return Vec::new();
        };
        let count = queue.len().min(max);
        let jobs = queue.drain(..count);
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
                self.queue(*job).push_front(*job);
            }
        }
    }

    /// Tells whether a change is durable.
    pub fn is_durable(&self, job: JobId, number: RecordNumber) -> bool {
        number == RecordNumber::default() || self.durable.get(&job).is_some_and(|n| *n >= number)
    }

    /// Returns the lane of a job.
    pub fn lane(&self, job: JobId) -> RecordLane {
        RecordLane::of(job, self.queues.len())
    }

    /// Returns the number of jobs of a lane that wait to be written.
    pub fn waiting(&self, lane: RecordLane) -> usize {
        self.queues.get(lane.index()).map_or(0, VecDeque::len)
    }

    /// Forgets a job that was removed from the store.
    pub fn forget(&mut self, job: JobId) {
        self.durable.remove(&job);
    }

    fn queue(&mut self, job: JobId) -> &mut VecDeque<JobId> {
        let lane = self.lane(job);
        &mut self.queues[lane.index()]
    }
}
