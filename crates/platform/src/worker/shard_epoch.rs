use lagoon_core::id::{Epoch, ShardId};
use serde::{Deserialize, Serialize};

/// A shard and the epoch at which the sender owns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEpoch {
    /// Id of the shard.
    pub shard: ShardId,
    /// Epoch of the shard.
    pub shard_epoch: Epoch,
}
