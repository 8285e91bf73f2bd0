use lagoon_core::id::{Epoch, ShardId, TaskId};
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::worker::TaskState;

/// A task in a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Shard that decides about it.
    pub shard: ShardId,
    /// Epoch of the shard that started it.
    pub shard_epoch: Epoch,
    /// Resources that it was started with; zero if it never started.
    pub resources: Resources,
    /// Its state.
    pub state: TaskState,
    /// Resources that it was last seen to use.
    pub observed: Resources,
}
