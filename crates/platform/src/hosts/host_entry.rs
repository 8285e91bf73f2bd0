use lagoon_core::id::{FailureDomain, HostId, RackId};
use serde::{Deserialize, Serialize};

use crate::hosts::{ExecutorEntry, HostState, WorkerEntry};

/// A host in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Id of the host.
    pub host: HostId,
    /// IP address.
    pub address: String,
    /// Rack of the host.
    pub rack: RackId,
    /// Failure domain of the rack.
    pub failure_domain: FailureDomain,
    /// Whether it accepts new work.
    pub state: HostState,
    /// Worker on the host, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerEntry>,
    /// Executors on the host.
    #[serde(default)]
    pub executors: Vec<ExecutorEntry>,
}
