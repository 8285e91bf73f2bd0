use crate::id::{Epoch, Incarnation, RackId, Sequence, TaskId};
use crate::shard::TaskReport;
use crate::unit::{Millis, Resources, Timestamp};

/// A granted or renewed worker lease with what came with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatReport {
    /// When the request was sent; the lease runs from here.
    pub sent_at: Timestamp,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Run of the worker.
    pub incarnation: Incarnation,
    /// Rack.
    pub rack: RackId,
    /// What the worker holds.
    pub capacity: Resources,
    /// Time to live of the lease.
    pub ttl: Millis,
    /// Time after which tasks stop by themselves.
    pub task_ttl: Millis,
    /// True if `tasks` is the whole inventory.
    pub full: bool,
    /// Position of the inventory; sent back with the next heartbeat.
    pub sequence: Sequence,
    /// All tasks, or those that changed.
    pub tasks: Vec<TaskReport>,
    /// Tasks that the worker forgot.
    pub forgotten: Vec<TaskId>,
    /// Resources seen in use, with a lag.
    pub observed: Resources,
}
