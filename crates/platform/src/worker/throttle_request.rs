use lagoon_core::id::Epoch;
use lagoon_core::unit::Millicores;
use serde::{Deserialize, Serialize};

/// Body of `POST /tasks/{id}/throttle`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrottleRequest {
    /// Epoch of the worker's lease.
    pub epoch: Epoch,
    /// Processors that the task may use at most.
    pub cpu: Millicores,
}
