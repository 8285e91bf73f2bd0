use lagoon_core::id::{Epoch, ProcessId};
use serde::{Deserialize, Serialize};

/// Body of `DELETE /lease`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseRequest {
    /// Process that holds the lease.
    pub holder: ProcessId,
    /// Epoch of the lease.
    pub epoch: Epoch,
}
