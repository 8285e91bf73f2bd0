use lagoon_core::id::{Epoch, ProcessId};
use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

use crate::worker::LeaseRefusalReason;

/// Answer to a refused lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRefusal {
    /// Why it was refused.
    pub reason: LeaseRefusalReason,
    /// Highest epoch that the worker has granted.
    pub epoch: Epoch,
    /// Holder of the valid lease, if there is one.
    pub holder: Option<ProcessId>,
    /// Time until that lease lapses unless it is renewed.
    pub remaining_ms: Millis,
}
