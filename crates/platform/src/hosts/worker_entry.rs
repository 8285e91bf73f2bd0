use lagoon_core::id::WorkerId;
use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};

use crate::transport::Endpoint;

/// A worker in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerEntry {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Address of its API.
    pub address: Endpoint,
    /// Total resources.
    pub capacity: Resources,
}
