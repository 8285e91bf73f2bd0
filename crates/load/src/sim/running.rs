use lagoon_core::shard::TaskPhase;
use lagoon_core::unit::Resources;

/// A task that a worker knows.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) resources: Resources,
    pub(crate) observed: Resources,
    pub(crate) phase: TaskPhase,
}
