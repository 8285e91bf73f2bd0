use crate::id::{HostId, Incarnation, WorkerId};

/// A worker of another shard on which a member is reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedPlacement {
    /// Worker.
    pub worker: WorkerId,
    /// Host.
    pub host: HostId,
    /// Address of the worker.
    pub address: String,
    /// Run of the worker, as it said itself.
    pub incarnation: Incarnation,
}
