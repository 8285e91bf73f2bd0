use lagoon_core::id::{Epoch, ShardId};
use serde::{Deserialize, Serialize};

/// A shard and the epoch that the sender assumes for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardEpoch {
    /// The shard.
    pub shard: ShardId,
    /// Its epoch.
    pub shard_epoch: Epoch,
}
