use lagoon_core::unit::Millis;
use serde::Serialize;

use crate::id::{ExecutorId, RunNumber, TaskKey};

/// One run of a task.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Where it runs.
    pub executor: ExecutorId,
    /// How far it has come: starting, unconfirmed, running or stopping.
    pub phase: &'static str,
    /// Time since it was ordered to start.
    pub ordered_ago: Millis,
    /// Progress in percent, as last listed.
    pub percent: u32,
}
