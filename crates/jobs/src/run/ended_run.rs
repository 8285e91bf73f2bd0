use crate::id::{Checkpoint, RunNumber, TaskKey};
use crate::run::RunOutcome;

/// One end in the list of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end in this life of the executor, from 1.
    pub sequence: u64,
    /// The task.
    pub task: TaskKey,
    /// The run of it that ended.
    pub number: RunNumber,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Progress it saved.
    pub checkpoint: Option<Checkpoint>,
}
