use serde::{Deserialize, Serialize};

/// Why a worker refused a lease request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRefusalReason {
    /// Another holder's lease is valid.
    Held,
    /// The lease to renew has expired; the caller must request a new one.
    Lapsed,
    /// The worker has seen a higher epoch of the shard.
    LowerShardEpoch,
}
