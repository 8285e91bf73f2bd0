use lagoon_core::id::Epoch;
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::worker::StartRefusalReason;

/// Response of a refused start, or of another refused request with an epoch. The request had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRefusal {
    /// Reason of the refusal.
    pub reason: StartRefusalReason,
    /// Highest epoch of the worker's lease, or of the shard if the shard's epoch was too low.
    pub epoch: Epoch,
    /// Resources that are not allocated.
    pub free: Resources,
}
