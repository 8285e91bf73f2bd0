use lagoon_core::id::{ExecutorId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::transport::Endpoint;

/// An executor of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorEntry {
    /// Its name.
    pub executor: ExecutorId,
    /// Service that it answers for.
    pub service: ServiceName,
    /// Address of its API.
    pub address: Endpoint,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}
