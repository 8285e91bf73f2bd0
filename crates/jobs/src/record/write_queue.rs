use std::collections::{HashMap, VecDeque};

use crate::id::JobId;
use crate::record::{RecordLane, RecordNumber};

/// One part in so many of a write is kept for jobs that have not ended.
const PART_FOR_OTHERS: usize = 3;

/// Jobs whose progress changed since it was last written.
#[derive(Debug, Clone)]
pub struct WriteQueue {
    last: RecordNumber,
    changed: HashMap<JobId, RecordNumber>,
    durable: HashMap<JobId, RecordNumber>,
    /// Changed jobs of each lane, longest waiting first. A job that has ended since is in `ended` too.
    queues: Vec<VecDeque<JobId>>,
    /// Changed jobs of each lane that have ended, longest waiting first.
    ended: Vec<VecDeque<JobId>>,
}

impl WriteQueue {
    /// Starts empty, with a number of lanes.
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

    /// Notes a change of a job; it is durable once this number is.
    pub fn mark(&mut self, job: JobId) -> RecordNumber {
        self.last = self.last.next();
        let is_queued = self.changed.insert(job, self.last).is_some();
        if !is_queued {
            self.queue(job).push_back(job);
        }
        self.last
    }

    /// Notes the final state of a job.
    pub fn mark_ended(&mut self, job: JobId) -> RecordNumber {
        let number = self.mark(job);
        let lane = self.lane(job);
        self.ended[lane.index()].push_back(job);
        number
    }

    /// Takes up to `max` changed jobs of a lane for one write, longest waiting first. Jobs that have ended come first,
    /// because callers wait for them; a part of the write is left for the others, whose ends executors keep meanwhile.
    pub fn take(&mut self, lane: RecordLane, max: usize) -> Vec<(JobId, RecordNumber)> {
        let lane = lane.index();
        if lane >= self.queues.len() {
            return Vec::new();
        }
        let mut jobs = Vec::new();
        let most_ended = max - max / PART_FOR_OTHERS;
        for (queue, most) in [
            (&mut self.ended[lane], most_ended),
            (&mut self.queues[lane], max),
        ] {
            while jobs.len() < most
                && let Some(job) = queue.pop_front()
            {
                // One that was taken from the other queue is not changed any more.
                jobs.extend(self.changed.remove(&job).map(|number| (job, number)));
            }
        }
        jobs
    }

    /// Notes that a write took effect. What was put back meanwhile and has not changed since need not be written again.
    pub fn mark_written(&mut self, jobs: &[(JobId, RecordNumber)]) {
        for (job, number) in jobs {
            if self.changed.get(job) == Some(number) {
                self.changed.remove(job);
            }
            let durable = self.durable.entry(*job).or_default();
            *durable = number.max(durable).to_owned();
        }
    }

    /// Puts the jobs of a write that failed back, before the others.
    pub fn requeue(&mut self, jobs: &[(JobId, RecordNumber)]) {
        for (job, number) in jobs.iter().rev() {
            if !self.changed.contains_key(job) {
                self.changed.insert(*job, *number);
                let lane = self.lane(*job);
                self.ended[lane.index()].push_front(*job);
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

    /// Returns the number of jobs of a lane that wait to be written, or more.
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
