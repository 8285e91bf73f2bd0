use lagoon_core::unit::Timestamp;

use crate::id::StepKey;
use crate::job::Job;
use crate::policy::Queue;

/// A job that takes more than this many times its objective is of no use any more.
const LATE_FACTOR: u64 = 3;

/// Place of a step in the order of service; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Work that is of no use any more goes last, whatever its queue.
    too_late: bool,
    queue: u32,
    objective: Timestamp,
    key: StepKey,
}

impl Rank {
    pub(super) fn new(queue: &Queue, job: &Job, key: StepKey, now: Timestamp) -> Self {
        let accepted = job.record().accepted();
        let allowed = job.objective.since(accepted).get() * LATE_FACTOR;
        Self {
            queue: queue.rank,
            too_late: now.since(accepted).get() > allowed,
            objective: job.objective,
            key,
        }
    }

    pub(super) fn key(&self) -> StepKey {
        self.key
    }
}
