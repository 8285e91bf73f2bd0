use crate::id::{ExecutorId, ServiceName};

/// An executor, as the host list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorSpec {
    /// Id.
    pub executor: ExecutorId,
    /// Service that it runs requests of.
    pub service: ServiceName,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}
