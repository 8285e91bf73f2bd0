use serde::{Deserialize, Serialize};

/// Why a worker refused a start or another request that names an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartRefusalReason {
    /// The request's lease epoch is not the current one.
    WrongEpoch,
    /// The lease has expired or was released.
    NoLease,
    /// The worker has seen a higher epoch of the shard.
    LowerShardEpoch,
    /// The task needs more resources than are free.
    DoesNotFit,
    /// The worker could not start the task.
    StartFailed,
}
