use crate::id::{ExecutorId, ServiceName, WorkerId};

/// Executor state for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorView {
    /// Executor id.
    pub executor: ExecutorId,
    /// Service whose requests it runs.
    pub service: ServiceName,
    /// Worker on the same host.
    pub worker: WorkerId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Slots that are or may be in use.
    pub in_use: u32,
}
