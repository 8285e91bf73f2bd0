use std::collections::BTreeMap;

use lagoon_core::id::{ExecutorId, WorkerId};
use lagoon_platform::Endpoint;
use serde::{Deserialize, Serialize};

/// Endpoints of all fakes of a platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The store.
    pub store: Endpoint,
    /// The host list.
    pub hosts: Endpoint,
    /// Server of all workers, which also serves fault rules and violations.
    pub worker_server: Endpoint,
    /// Server of all executors, which also serves fault rules and run counts.
    pub executor_server: Endpoint,
    /// Each worker.
    pub workers: BTreeMap<WorkerId, Endpoint>,
    /// Each executor.
    pub executors: BTreeMap<ExecutorId, Endpoint>,
}
