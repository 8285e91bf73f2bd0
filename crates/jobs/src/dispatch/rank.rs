use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::preemption::Preemption;
use crate::id::StepKey;
use crate::job::Job;
use crate::policy::Queue;

/// A job that takes more than this many times its objective is of no use any more.
const LATE_FACTOR: u64 = 3;

/// Work may take as little as this part of what is expected, as run times of a queue spread that far.
const MIN_RUN_TIME_DIVISOR: u64 = 2;

/// Place of a step in the order of service; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Work that is of no use any more goes last, whatever its queue.
    too_late: bool,
    queue: u32,
    /// It can't end by its objective any more, and is worth a fraction of what still can.
    misses_objective: bool,
    objective: Timestamp,
    key: StepKey,
}

impl Rank {
    /// Ranks a step of a job whose remaining work is expected to take `rest`.
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

    /// Returns which running work yields to the step.
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
