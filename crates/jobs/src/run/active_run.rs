use crate::id::{Checkpoint, RunNumber, TaskKey};

/// A run in progress in the list of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub number: RunNumber,
    /// Progress that the run saved last, if any.
    pub checkpoint: Option<Checkpoint>,
    /// Progress in percent.
    pub percent: u32,
}
