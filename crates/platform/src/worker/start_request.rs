use lagoon_core::id::{Epoch, ShardId, TaskId};
use lagoon_core::unit::{Millis, Resources};
use serde::{Deserialize, Serialize};

/// Body of `POST /tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRequest {
    /// Epoch of the worker's lease.
    pub epoch: Epoch,
    /// Task to start; a task that exists already is not started again.
    pub task: TaskId,
    /// Home shard of the task.
    pub shard: ShardId,
    /// Epoch of the shard's owner.
    pub shard_epoch: Epoch,
    /// Resources allocated to the task until it ends.
    pub resources: Resources,
    /// Declared run time.
    pub run_ms: Millis,
    /// Input of the task.
    pub payload: String,
}
