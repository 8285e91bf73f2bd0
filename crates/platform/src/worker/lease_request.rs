use lagoon_core::id::{Epoch, ProcessId, Sequence, ShardId};
use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

use crate::worker::ShardEpoch;

/// Body of `POST /lease`: asks for the lease or renews it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Process that asks.
    pub holder: ProcessId,
    /// Shard on whose behalf it asks.
    pub shard: ShardId,
    /// Epoch of that shard.
    pub shard_epoch: Epoch,
    /// Epoch of the lease to renew; a request without it gets a new epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_epoch: Option<Epoch>,
    /// Time for which the lease is valid.
    pub ttl_ms: Millis,
    /// Time after which tasks of a shard that no request names stop on their own.
    pub task_ttl_ms: Millis,
    /// Sequence number of the last inventory; zero asks for a full one.
    pub known_sequence: Sequence,
    /// Further shards whose tasks are to continue.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub renew_tasks_of: Vec<ShardEpoch>,
}
