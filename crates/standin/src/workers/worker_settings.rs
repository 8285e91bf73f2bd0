use lagoon_core::id::{RackId, WorkerId};
use lagoon_core::unit::Resources;

/// Settings of one fake worker.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Rack of the worker's host.
    pub rack: RackId,
    /// Total resources of the worker.
    pub capacity: Resources,
}
