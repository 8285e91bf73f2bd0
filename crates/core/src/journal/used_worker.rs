use crate::id::{HostId, Incarnation};

/// A worker that may run tasks of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsedWorker {
    /// Host.
    pub host: HostId,
    /// Address.
    pub address: String,
    /// Run of the worker when its use was recorded.
    pub incarnation: Incarnation,
}
