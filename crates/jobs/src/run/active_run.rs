use crate::id::{Checkpoint, RunNumber, TaskKey};

/// One run in the list of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskKey,
    /// The run of it.
    pub number: RunNumber,
    /// Progress it saved last.
    pub checkpoint: Option<Checkpoint>,
    /// Progress of the work in percent.
    pub percent: u32,
}
