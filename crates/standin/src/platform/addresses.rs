use std::collections::BTreeMap;

use lagoon_core::id::{ExecutorId, WorkerId};
use lagoon_platform::Endpoint;
use serde::{Deserialize, Serialize};

/// Addresses of a whole platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The store.
    pub store: Endpoint,
    /// The host list.
    pub hosts: Endpoint,
    /// Server of all workers, with its faults and violations.
    pub worker_server: Endpoint,
    /// Server of all executors, with its faults and runs.
    pub executor_server: Endpoint,
    /// Each worker.
    pub workers: BTreeMap<WorkerId, Endpoint>,
    /// Each executor.
    pub executors: BTreeMap<ExecutorId, Endpoint>,
}
