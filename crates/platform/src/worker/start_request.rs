use lagoon_core::id::{Epoch, ShardId, TaskId};
use lagoon_core::unit::{Millis, Resources};
use serde::{Deserialize, Serialize};

/// Body of `POST /tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRequest {
    /// Epoch of the worker's lease.
    pub epoch: Epoch,
    /// Task to start; a known task is not started again.
    pub task: TaskId,
    /// Shard that decides about the task.
    pub shard: ShardId,
    /// Epoch of that shard.
    pub shard_epoch: Epoch,
    /// Resources that the task holds until it ends.
    pub resources: Resources,
    /// Declared run time.
    pub run_ms: Millis,
    /// What the task is given.
    pub payload: String,
}
