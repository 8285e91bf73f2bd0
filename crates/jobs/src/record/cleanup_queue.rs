use std::collections::VecDeque;

use crate::id::JobId;
use crate::job::JobState;
use crate::record::RecordLane;

/// Jobs whose final state is durable and whose other keys are still in the store. Later writes remove these keys, so
/// that a write that makes final states durable can contain as many jobs as possible.
#[derive(Debug, Clone)]
pub struct CleanupQueue {
    lanes: Vec<VecDeque<(JobId, JobState)>>,
}

impl CleanupQueue {
    /// Creates an empty queue with a number of lanes.
    pub fn new(lanes: usize) -> Self {
        let lanes = lanes.clamp(1, RecordLane::COUNT);
        Self {
            lanes: vec![VecDeque::new(); lanes],
        }
    }

    /// Adds a job with its final state.
    pub fn push(&mut self, job: JobId, state: JobState) {
        let lane = RecordLane::of(job, self.lanes.len());
        self.lanes[lane.index()].push_back((job, state));
    }

    /// Takes up to `max` jobs of a lane.
    pub fn take(&mut self, lane: RecordLane, max: usize) -> Vec<(JobId, JobState)> {
        let Some(queue) = self.lanes.get_mut(lane.index()) else {
            return Vec::new();
        };
        let count = queue.len().min(max);
        queue.drain(..count).collect()
    }

    /// Returns jobs whose keys could not be removed to the queue.
    pub fn requeue(&mut self, jobs: Vec<(JobId, JobState)>) {
        jobs.into_iter()
            .for_each(|(job, state)| self.push(job, state));
    }
}
