use lagoon_core::id::{ExecutorId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::transport::Endpoint;

/// An executor in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorEntry {
    /// Id of the executor.
    pub executor: ExecutorId,
    /// Service whose requests it runs.
    pub service: ServiceName,
    /// Address of its API.
    pub address: Endpoint,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Connections that it accepts at a time.
    pub connections: u32,
}
