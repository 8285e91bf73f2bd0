use lagoon_core::id::{RackId, WorkerId};

/// A fault that begins during a run.
#[derive(Debug, Clone)]
pub(crate) enum Fault {
    /// Cancels every second waiting job.
    CancelHalf,
    /// Makes a worker fail all work: every second job fails to start, the others fail after their start.
    FailEverything(WorkerId),
    /// Stops all workers of a rack permanently.
    LoseRack(RackId),
}
