use lagoon_core::unit::{Resources, Timestamp};

use crate::fleet::ExecutorSlot;
use crate::id::{Incarnation, RunNumber, TaskKey};
use crate::run::RunPhase;

/// One run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Number of the run among those of the task.
    pub number: RunNumber,
    /// Slot of its executor.
    pub slot: ExecutorSlot,
    /// Resources reserved for it on the executor.
    pub need: Resources,
    /// Whether it runs until its job is cancelled.
    pub is_long_running: bool,
    /// Phase of its life cycle.
    pub phase: RunPhase,
    /// When its start was requested.
    pub requested_at: Timestamp,
    /// Rank of its queue if more urgent work may preempt it, which requires that it saves its progress and is not part
    /// of a gang.
    pub preemptible_rank: Option<u32>,
    /// Progress in percent, and when it last changed.
    pub progress: (u32, Timestamp),
    /// Incarnation of the executor in which it runs or has run, if it was started at all; `None` if it may be a later one.
    pub incarnation: Option<Incarnation>,
}

impl Run {
    /// Returns true if it is known to run and no stop was requested.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. })
    }

    /// Returns true if it ended with its incarnation, because `current` runs now. A run without a known incarnation may be in
    /// either.
    pub fn ended_before(&self, current: Option<Incarnation>) -> bool {
        self.incarnation.is_some() && self.incarnation != current
    }

    /// Returns true if it may be stopped to free resources for work of a queue with `rank`.
    pub fn is_preemptible_by(&self, rank: u32) -> bool {
        self.is_running() && self.preemptible_rank.is_some_and(|own| own > rank)
    }

    /// Returns true if its stop was requested, or if its start is unconfirmed and a stop may follow.
    pub fn is_ending(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Stopping { .. } | RunPhase::Unconfirmed { .. }
        )
    }
}
