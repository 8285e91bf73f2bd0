use lagoon_core::id::Epoch;
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::worker::StartRefusalReason;

/// Answer to a refused request that named an epoch. The request had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRefusal {
    /// Why it was refused.
    pub reason: StartRefusalReason,
    /// Highest epoch of the worker's lease, or of the shard if that was too low.
    pub epoch: Epoch,
    /// Resources that no task holds.
    pub free: Resources,
}
