use serde::{Deserialize, Serialize};

/// Why a worker refused a start or another request that names an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartRefusalReason {
    /// The request names an epoch of the lease that is not the current one.
    WrongEpoch,
    /// The lease has lapsed or was released.
    NoLease,
    /// The worker has seen a higher epoch of the shard.
    LowerShardEpoch,
    /// The task needs more than is free.
    DoesNotFit,
    /// The worker could not start the task.
    StartFailed,
}
