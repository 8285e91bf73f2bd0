use crate::id::{HostId, RackId, WorkerId};
use crate::shard::ExecutorSpec;
use crate::unit::Resources;

/// A worker and the executors on its host, as described by the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Worker id.
    pub worker: WorkerId,
    /// Host id.
    pub host: HostId,
    /// Address of the worker, recorded for a successor that has no host list.
    pub address: String,
    /// Rack of the host.
    pub rack: RackId,
    /// Capacity according to the host list.
    pub capacity: Resources,
    /// Executors on the same host.
    pub executors: Vec<ExecutorSpec>,
}
