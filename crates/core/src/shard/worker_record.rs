use std::collections::HashMap;

use crate::id::{HostId, Incarnation, Sequence, TaskId, WorkerId};
use crate::lease::{WorkerLease, WorkerLifecycle};
use crate::shard::worker_assignment::WorkerAssignment;
use crate::unit::{Millis, Resources};

/// A worker of the shard and the tasks that use its capacity.
#[derive(Debug)]
pub(super) struct WorkerRecord {
    pub(super) worker: WorkerId,
    pub(super) host: HostId,
    pub(super) address: String,
    pub(super) assignment: WorkerAssignment,
    pub(super) lease: WorkerLease,
    pub(super) lifecycle: WorkerLifecycle,
    pub(super) incarnation: Option<Incarnation>,
    pub(super) sequence: Sequence,
    /// Tasks with capacity on the worker, of this shard and of others.
    pub(super) allocations: HashMap<TaskId, Resources>,
    /// True if the tasks of this shard were marked as lost and the worker has not been heard from since.
    pub(super) tasks_lost: bool,
    /// True once the store has recorded that this shard uses the worker.
    pub(super) recorded: bool,
}

impl WorkerRecord {
    pub(super) fn new(
        worker: WorkerId,
        host: HostId,
        address: String,
        lease_margin: Millis,
    ) -> Self {
        Self {
            worker,
            host,
            address,
            assignment: WorkerAssignment::Home,
            lease: WorkerLease::new(lease_margin),
            lifecycle: WorkerLifecycle::new(),
            incarnation: None,
            sequence: Sequence::default(),
            allocations: HashMap::new(),
            tasks_lost: false,
            recorded: false,
        }
    }
}
