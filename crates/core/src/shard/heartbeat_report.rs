use crate::id::{Epoch, Incarnation, RackId, Sequence, TaskId};
use crate::shard::TaskReport;
use crate::unit::{Millis, Resources, Timestamp};

/// A granted or renewed worker lease and the inventory sent with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatReport {
    /// Time when the request was sent; the lease counts from here.
    pub sent_at: Timestamp,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Rack of the host.
    pub rack: RackId,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Time to live of the lease.
    pub ttl: Millis,
    /// Time after which tasks stop unless they are renewed.
    pub task_ttl: Millis,
    /// True if `tasks` is the full inventory, false if it lists only changes.
    pub full: bool,
    /// Position of the inventory, sent back with the next heartbeat.
    pub sequence: Sequence,
    /// All tasks, or those that changed.
    pub tasks: Vec<TaskReport>,
    /// Tasks that the worker has forgotten.
    pub forgotten: Vec<TaskId>,
    /// Observed resource usage, which lags behind.
    pub observed: Resources,
}
