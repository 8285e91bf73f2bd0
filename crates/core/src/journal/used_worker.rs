use crate::id::{HostId, Incarnation};

/// A worker that may run tasks of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsedWorker {
    /// Host of the worker.
    pub host: HostId,
    /// Address of the worker.
    pub address: String,
    /// Incarnation of the worker when its use was recorded.
    pub incarnation: Incarnation,
}
