use lagoon_core::id::{TeamId, WorkerId};
use lagoon_core::unit::Resources;

/// A running task and the resources allocated to it.
#[derive(Debug)]
pub(crate) struct RunningTask {
    pub(crate) worker: WorkerId,
    pub(crate) team: TeamId,
    pub(crate) need: Resources,
}
