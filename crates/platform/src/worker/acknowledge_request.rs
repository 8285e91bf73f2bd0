use lagoon_core::id::{Epoch, ShardId, TaskId};
use serde::{Deserialize, Serialize};

/// Body of `POST /tasks/acknowledge`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeRequest {
    /// Home shard of the tasks.
    pub shard: ShardId,
    /// Epoch of the shard's owner.
    pub shard_epoch: Epoch,
    /// Ended tasks whose outcome is recorded.
    pub tasks: Vec<TaskId>,
}
