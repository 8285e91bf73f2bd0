use crate::id::{ExecutorId, ServiceName, WorkerId};

/// An executor as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorView {
    /// Id.
    pub executor: ExecutorId,
    /// Service.
    pub service: ServiceName,
    /// Worker on the same host.
    pub worker: WorkerId,
    /// Requests that it runs at one time.
    pub slots: u32,
    /// Slots that are or may be in use.
    pub in_use: u32,
}
