use smallvec::SmallVec;

use crate::id::{Epoch, HostId, RackId, WorkerId};
use crate::lease::WorkerPhase;
use crate::placement::ClosedReason;
use crate::unit::Resources;

/// A worker as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Id.
    pub worker: WorkerId,
    /// Host.
    pub host: HostId,
    /// Rack.
    pub rack: RackId,
    /// Phase of its life.
    pub phase: WorkerPhase,
    /// Epoch of its lease, once granted.
    pub epoch: Option<Epoch>,
    /// What it holds.
    pub capacity: Resources,
    /// What tasks were given.
    pub allocated: Resources,
    /// What was seen in use.
    pub observed: Resources,
    /// Why it receives no new work.
    pub closed: SmallVec<[ClosedReason; 3]>,
}
