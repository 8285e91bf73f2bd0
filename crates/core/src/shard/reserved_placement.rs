use crate::id::{HostId, Incarnation, WorkerId};

/// A worker of another shard on which capacity for one task is reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedPlacement {
    /// Worker id.
    pub worker: WorkerId,
    /// Host id.
    pub host: HostId,
    /// Address of the worker.
    pub address: String,
    /// Incarnation that the worker reported.
    pub incarnation: Incarnation,
}
