use std::collections::{HashMap, VecDeque};

use crate::id::JobId;
use crate::record::{RecordLane, RecordNumber};

/// Divisor of the part of each write that is reserved for jobs that have not ended: one third.
const LIVE_JOBS_DIVISOR: usize = 3;

/// Jobs whose progress has changed since it was last written, and the changes that are durable.
#[derive(Debug, Clone)]
pub struct WriteQueue {
    last: RecordNumber,
    changed: HashMap<JobId, RecordNumber>,
    durable: HashMap<JobId, RecordNumber>,
    /// Changed jobs of each lane, longest waiting first. A job that has ended since is also in `ended`.
    queues: Vec<VecDeque<JobId>>,
    /// Changed jobs of each lane that have ended, longest waiting first.
    ended: Vec<VecDeque<JobId>>,
}

impl WriteQueue {
    /// Creates an empty queue with a number of lanes.
    pub fn new(lanes: usize) -> Self {
        let lanes = lanes.clamp(1, RecordLane::COUNT);
        Self {
            last: RecordNumber::default(),
            changed: HashMap::new(),
            durable: HashMap::new(),
            queues: vec![VecDeque::new(); lanes],
            ended: vec![VecDeque::new(); lanes],
        }
    }

    /// Records a change of a job. The change is durable once the returned number is.
    pub fn mark(&mut self, job: JobId) -> RecordNumber {
        self.last = self.last.next();
        let is_queued = self.changed.insert(job, self.last).is_some();
        if !is_queued {
            self.queue(job).push_back(job);
        }
        self.last
    }

    /// Records that a job has reached its final state. The change is durable once the returned number is.
    pub fn mark_ended(&mut self, job: JobId) -> RecordNumber {
        let number = self.mark(job);
        let lane = self.lane(job);
        self.ended[lane.index()].push_back(job);
        number
    }

    /// Takes up to `max` changed jobs of a lane for one write, longest waiting first.
    ///
    /// Jobs that have ended come first, because callers wait for their final state. A part of each write is reserved
    /// for the other jobs, because executors keep their ends until these are recorded.
    pub fn take(&mut self, lane: RecordLane, max: usize) -> Vec<(JobId, RecordNumber)> {
        let lane = lane.index();
        if lane >= self.queues.len() {
            return Vec::new();
        }
        let mut jobs = Vec::new();
        let max_ended = max - max / LIVE_JOBS_DIVISOR;
        for (queue, limit) in [
            (&mut self.ended[lane], max_ended),
            (&mut self.queues[lane], max),
        ] {
            while jobs.len() < limit
                && let Some(job) = queue.pop_front()
            {
                // A job that was already taken from the other queue is no longer in `changed`.
                jobs.extend(self.changed.remove(&job).map(|number| (job, number)));
            }
        }
        jobs
    }

    /// Records that a write took effect. Jobs of it that were requeued meanwhile and have not changed since are not
    /// written again.
    pub fn mark_written(&mut self, jobs: &[(JobId, RecordNumber)]) {
        for (job, number) in jobs {
            if self.changed.get(job) == Some(number) {
                self.changed.remove(job);
            }
            let durable = self.durable.entry(*job).or_default();
            *durable = number.max(durable).to_owned();
        }
    }

    /// Returns the jobs of a failed write to the front of their lanes.
    pub fn requeue(&mut self, jobs: &[(JobId, RecordNumber)]) {
        for (job, number) in jobs.iter().rev() {
            if !self.changed.contains_key(job) {
                self.changed.insert(*job, *number);
                let lane = self.lane(*job);
                self.ended[lane.index()].push_front(*job);
            }
        }
    }

    /// Returns true if a change of a job is durable.
    pub fn is_durable(&self, job: JobId, number: RecordNumber) -> bool {
        number == RecordNumber::default() || self.durable.get(&job).is_some_and(|n| *n >= number)
    }

    /// Returns the lane of a job.
    pub fn lane(&self, job: JobId) -> RecordLane {
        RecordLane::of(job, self.queues.len())
    }

    /// Returns an upper bound for the number of jobs of a lane that wait to be written.
    pub fn waiting(&self, lane: RecordLane) -> usize {
        let queues = [&self.queues, &self.ended].into_iter();
        let waiting = queues.filter_map(|queues| queues.get(lane.index()).map(VecDeque::len));
        waiting.sum()
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
