use lagoon_core::unit::{Resources, Timestamp};

use crate::fleet::ExecutorSlot;
use crate::id::{Incarnation, RunNumber, TaskKey};
use crate::run::RunPhase;

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub number: RunNumber,
    /// Where it runs.
    pub slot: ExecutorSlot,
    /// What is reserved for it there.
    pub need: Resources,
    /// How far it has come.
    pub phase: RunPhase,
    /// When it was ordered to start.
    pub ordered_at: Timestamp,
    /// Rank of its queue, if more urgent work may displace it: it saves its progress and runs by itself.
    pub preemptible_rank: Option<u32>,
    /// Progress in percent and when it last changed.
    pub progress: (u32, Timestamp),
    /// Life of the executor in which it is known to run or to have run.
    pub incarnation: Option<Incarnation>,
}

impl Run {
    /// Tells whether it is known to run and not ordered to stop.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. })
    }

    /// Tells whether it ended with a life before `life`. One of which no life is known may run in either.
    pub fn ended_before(&self, incarnation: Option<Incarnation>) -> bool {
        self.incarnation.is_some() && self.incarnation < incarnation
    }

    /// Tells whether it may be stopped to make room for work of a queue with `rank`.
    pub fn is_preemptible_by(&self, rank: u32) -> bool {
        self.is_running() && self.preemptible_rank.is_some_and(|own| own > rank)
    }

    /// Tells whether it is ordered to stop or may have to be.
    pub fn is_ending(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Stopping { .. } | RunPhase::Unconfirmed { .. }
        )
    }
}
