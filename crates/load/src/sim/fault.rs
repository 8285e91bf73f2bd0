use lagoon_core::id::{RackId, WorkerId};

/// A fault that sets in during a run.
#[derive(Debug, Clone)]
pub(crate) enum Fault {
    /// Every second piece of waiting work is cancelled.
    CancelHalf,
    /// The worker fails everything it is given: half of it before the start, half of it after.
    FailEverything(WorkerId),
    /// The workers of the rack stop for good.
    LoseRack(RackId),
}
