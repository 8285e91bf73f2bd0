use lagoon_core::id::{Epoch, ShardId, TaskId};
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::worker::TaskState;

/// A task in a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// Id of the task.
    pub task: TaskId,
    /// Home shard of the task.
    pub shard: ShardId,
    /// Epoch of the owner that started it.
    pub shard_epoch: Epoch,
    /// Allocated resources; zero if it never started.
    pub resources: Resources,
    /// State on the worker.
    pub state: TaskState,
    /// Last measured usage.
    pub observed: Resources,
}
