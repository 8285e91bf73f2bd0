use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::preemption::Preemption;
use crate::id::StepKey;
use crate::job::Job;
use crate::policy::Queue;

/// Multiple of the time from its acceptance to its objective after which a job is too late to be of use.
const LATE_FACTOR: u64 = 3;

/// Work may take as little as its expected time divided by this; run times within a queue vary that much.
const MIN_RUN_TIME_DIVISOR: u64 = 2;

/// Position of a step in the order of placement; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the job is too late to be of use; such work comes last, whatever its queue.
    too_late: bool,
    queue: u32,
    /// Whether the job can't meet its objective any more, so that it is worth a fraction of work that still can.
    misses_objective: bool,
    objective: Timestamp,
    key: StepKey,
}

impl Rank {
    /// Ranks a step of a job whose remaining work is expected to take `remaining`.
    pub(super) fn new(
        queue: &Queue,
        job: &Job,
        key: StepKey,
        remaining: Millis,
        now: Timestamp,
    ) -> Self {
        let accepted = job.record().accepted();
        let allowed = job.objective.since(accepted).get() * LATE_FACTOR;
        Self {
            queue: queue.rank,
            too_late: now.since(accepted).get() > allowed,
            misses_objective: now.after(Millis::new(remaining.get() / MIN_RUN_TIME_DIVISOR))
                > job.objective,
            objective: job.objective,
            key,
        }
    }

    /// Returns which runs the step may preempt.
    pub(super) fn preemption(&self) -> Preemption {
        match self.too_late || self.misses_objective {
            true => Preemption::Never,
            false => Preemption::RankedBelow(self.queue),
        }
    }

    pub(super) fn key(&self) -> StepKey {
        self.key
    }
}
