use lagoon_core::id::{Epoch, ProcessId, Sequence, ShardId};
use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

use crate::worker::ShardEpoch;

/// Body of `POST /lease`, which acquires or renews the lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Process that requests the lease.
    pub holder: ProcessId,
    /// Shard for which it requests the lease.
    pub shard: ShardId,
    /// Epoch of that shard.
    pub shard_epoch: Epoch,
    /// Epoch of the lease to renew; `None` requests a lease with a new epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_epoch: Option<Epoch>,
    /// Time to live of the lease.
    pub ttl_ms: Millis,
    /// Time after which the worker stops the tasks of a shard that no request has named since.
    pub task_ttl_ms: Millis,
    /// Sequence number of the last inventory; zero requests a full one.
    pub known_sequence: Sequence,
    /// Other shards whose tasks are renewed as well.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub renew_tasks_of: Vec<ShardEpoch>,
}
