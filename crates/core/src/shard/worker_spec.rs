use crate::id::{HostId, RackId, WorkerId};
use crate::shard::ExecutorSpec;
use crate::unit::Resources;

/// A worker and the executors of its host, as the host list names them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Id.
    pub worker: WorkerId,
    /// Host.
    pub host: HostId,
    /// Address of the worker, kept for a successor that has no host list.
    pub address: String,
    /// Rack.
    pub rack: RackId,
    /// What the host list says that it holds.
    pub capacity: Resources,
    /// Executors of the same host.
    pub executors: Vec<ExecutorSpec>,
}
