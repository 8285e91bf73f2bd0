use lagoon_core::id::Epoch;
use serde::{Deserialize, Serialize};

/// Body of a stop or checkpoint request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRequest {
    /// Epoch of the worker's lease.
    pub epoch: Epoch,
}
