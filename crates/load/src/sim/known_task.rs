use lagoon_core::shard::TaskPhase;
use lagoon_core::unit::Resources;

/// A task in a worker's inventory, running or ended.
#[derive(Debug)]
pub(crate) struct KnownTask {
    pub(crate) resources: Resources,
    pub(crate) observed: Resources,
    pub(crate) phase: TaskPhase,
}
