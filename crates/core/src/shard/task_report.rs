use crate::id::{Epoch, ShardId, TaskId};
use crate::shard::TaskPhase;
use crate::unit::Resources;

/// A task in the inventory of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskReport {
    /// Task.
    pub task: TaskId,
    /// Home shard of its work.
    pub shard: ShardId,
    /// Epoch of the owner that started it.
    pub shard_epoch: Epoch,
    /// Resources that it was given.
    pub resources: Resources,
    /// State.
    pub phase: TaskPhase,
    /// Resources seen in use.
    pub observed: Resources,
}
