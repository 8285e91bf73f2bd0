use lagoon_core::id::{Epoch, Incarnation, RackId};
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::worker::{Inventory, Usage};

/// Answer to a granted or renewed lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseResponse {
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Run of the worker; tasks of an earlier run are gone.
    pub incarnation: Incarnation,
    /// Rack of the worker.
    pub rack: RackId,
    /// Resources that the worker holds.
    pub capacity: Resources,
    /// Tasks of the worker.
    pub inventory: Inventory,
    /// Use of the worker's resources.
    pub usage: Usage,
}
