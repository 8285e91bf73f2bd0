use std::sync::Arc;

use lagoon_core::id::{Epoch, TaskId, WorkId};
use lagoon_core::journal::StoreRequest;
use lagoon_core::unit::Timestamp;
use lagoon_core::work::WorkSpec;

/// A call in flight, with the process and the ownership epoch that sent it.
#[derive(Debug, Clone)]
pub(crate) struct Message {
    pub(crate) process: usize,
    pub(crate) epoch: Epoch,
    pub(crate) call: Call,
    /// True if the response will be lost.
    pub(crate) response_lost: bool,
}

/// The kind of a call and its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Call {
    Lease {
        worker: usize,
        sent_at: Timestamp,
        known: Option<Epoch>,
    },
    Start {
        worker: usize,
        lease: Epoch,
        task: TaskId,
        spec: Arc<WorkSpec>,
    },
    Stop {
        worker: usize,
        task: TaskId,
    },
    Acknowledge {
        worker: usize,
        tasks: Vec<TaskId>,
    },
    Release {
        worker: usize,
        lease: Epoch,
    },
    Fence {
        worker: usize,
    },
    Request {
        work: WorkId,
        spec: Arc<WorkSpec>,
    },
    Status,
    Store(StoreRequest),
}
