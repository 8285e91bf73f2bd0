use smallvec::SmallVec;

use crate::id::{Epoch, HostId, RackId, WorkerId};
use crate::lease::WorkerPhase;
use crate::placement::ClosedReason;
use crate::unit::Resources;

/// Worker state for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Worker id.
    pub worker: WorkerId,
    /// Host id.
    pub host: HostId,
    /// Rack of the host.
    pub rack: RackId,
    /// Phase of its life cycle.
    pub phase: WorkerPhase,
    /// Epoch of its lease, once granted.
    pub epoch: Option<Epoch>,
    /// Total capacity.
    pub capacity: Resources,
    /// Resources allocated to tasks.
    pub allocated: Resources,
    /// Observed resource usage.
    pub observed: Resources,
    /// Why it accepts no new work.
    pub closed: SmallVec<[ClosedReason; 3]>,
}
