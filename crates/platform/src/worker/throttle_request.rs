use lagoon_core::id::{Epoch, ShardId};
use lagoon_core::unit::Millicores;
use serde::{Deserialize, Serialize};

/// Body of `POST /tasks/{id}/throttle`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrottleRequest {
    /// Home shard of the task.
    pub shard: ShardId,
    /// Epoch of the shard's owner.
    pub shard_epoch: Epoch,
    /// New CPU limit of the task.
    pub cpu: Millicores,
}
