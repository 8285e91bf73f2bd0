use lagoon_core::unit::Millis;
use serde::Serialize;

use crate::id::{ExecutorId, RunNumber, TaskKey};

/// State of one run of a task.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Id of the task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Executor that it was assigned to.
    pub executor: ExecutorId,
    /// Phase: `starting`, `unconfirmed`, `running` or `stopping`.
    pub phase: &'static str,
    /// Time since its start was requested.
    pub ordered_ago: Millis,
    /// Progress in percent, as last listed.
    pub percent: u32,
}
