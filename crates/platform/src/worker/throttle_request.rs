use lagoon_core::id::{Epoch, ShardId};
use lagoon_core::unit::Millicores;
use serde::{Deserialize, Serialize};

/// Body of `POST /tasks/{id}/throttle`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrottleRequest {
    /// Home shard of the tasks.
    pub shard: ShardId,
    /// Epoch of its owner.
    pub shard_epoch: Epoch,
    /// Processors that the task may use at most.
    pub cpu: Millicores,
}
