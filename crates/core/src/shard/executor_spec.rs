use crate::id::{ExecutorId, ServiceName};

/// An executor as described by the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorSpec {
    /// Executor id.
    pub executor: ExecutorId,
    /// Service whose requests it runs.
    pub service: ServiceName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
}
