use lagoon_core::id::{Epoch, Incarnation, RackId};
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::worker::{Inventory, Usage};

/// Response of a lease request that was granted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseResponse {
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Incarnation of the worker; tasks of earlier incarnations are gone.
    pub incarnation: Incarnation,
    /// Rack of the worker.
    pub rack: RackId,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Tasks on the worker.
    pub inventory: Inventory,
    /// Resource usage of the worker.
    pub usage: Usage,
}
