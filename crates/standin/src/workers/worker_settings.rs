use lagoon_core::id::{RackId, WorkerId};
use lagoon_core::unit::Resources;

/// Settings of one fake worker.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Its name.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// Resources that it holds.
    pub capacity: Resources,
}
