use crate::id::{Epoch, ShardId, TaskId};
use crate::shard::TaskPhase;
use crate::unit::Resources;

/// A task in the inventory of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskReport {
    /// Task id.
    pub task: TaskId,
    /// Home shard of the work.
    pub shard: ShardId,
    /// Epoch of the owner that started the task.
    pub shard_epoch: Epoch,
    /// Resources allocated to the task.
    pub resources: Resources,
    /// Reported state.
    pub phase: TaskPhase,
    /// Observed resource usage.
    pub observed: Resources,
}
