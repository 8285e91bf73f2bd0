use lagoon_core::id::{FailureDomain, HostId, RackId};
use serde::{Deserialize, Serialize};

use crate::hosts::{ExecutorEntry, HostState, WorkerEntry};

/// A host in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Its name.
    pub host: HostId,
    /// Its IP address.
    pub address: String,
    /// Rack that holds it.
    pub rack: RackId,
    /// Failure domain that holds the rack.
    pub failure_domain: FailureDomain,
    /// Whether it takes work.
    pub state: HostState,
    /// Its worker, if it runs one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerEntry>,
    /// Its executors.
    #[serde(default)]
    pub executors: Vec<ExecutorEntry>,
}
