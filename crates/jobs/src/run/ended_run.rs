use crate::id::{Checkpoint, RunNumber, TaskKey};
use crate::run::RunOutcome;

/// An ended run in the list of an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end within this incarnation of the executor, from 1.
    pub sequence: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub number: RunNumber,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Progress that the run saved, if any.
    pub checkpoint: Option<Checkpoint>,
}
