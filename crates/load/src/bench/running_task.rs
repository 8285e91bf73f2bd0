use lagoon_core::id::{TeamId, WorkerId};
use lagoon_core::unit::Resources;

/// A task that holds resources.
#[derive(Debug)]
pub(crate) struct RunningTask {
    pub(crate) worker: WorkerId,
    pub(crate) team: TeamId,
    pub(crate) need: Resources,
}
