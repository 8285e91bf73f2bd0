use lagoon_core::id::WorkerId;
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::transport::Endpoint;

/// The worker of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEntry {
    /// Its name.
    pub worker: WorkerId,
    /// Address of its API.
    pub address: Endpoint,
    /// Resources that it holds.
    pub capacity: Resources,
}
