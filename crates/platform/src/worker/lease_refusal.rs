use lagoon_core::id::{Epoch, ProcessId};
use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

use crate::worker::LeaseRefusalReason;

/// Response of a lease request that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRefusal {
    /// Reason of the refusal.
    pub reason: LeaseRefusalReason,
    /// Highest epoch that the worker has granted.
    pub epoch: Epoch,
    /// Holder of the valid lease, if there is one.
    pub holder: Option<ProcessId>,
    /// Time until that lease expires unless it is renewed.
    pub remaining_ms: Millis,
}
