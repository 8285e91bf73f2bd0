use lagoon_core::id::{Incarnation, Sequence};
use lagoon_core::shard::TaskReport;
use lagoon_core::unit::Resources;

/// Response of a worker to a heartbeat.
#[derive(Debug)]
pub(crate) struct HeartbeatResponse {
    pub(crate) incarnation: Incarnation,
    pub(crate) full: bool,
    pub(crate) sequence: Sequence,
    pub(crate) tasks: Vec<TaskReport>,
    pub(crate) observed: Resources,
}
