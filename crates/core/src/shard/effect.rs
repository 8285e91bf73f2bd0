use std::sync::Arc;

use crate::id::{Epoch, ExecutorId, TaskId, WorkId, WorkerId};
use crate::shard::{Borrower, Reply, WaiterId};
use crate::unit::Millis;
use crate::work::WorkSpec;

/// What the daemon does after a change of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start a task; report with `on_start`.
    Start {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskId,
        /// Specification of its work.
        spec: Arc<WorkSpec>,
    },
    /// Start a task of another shard; report with `on_lent_start`.
    StartForBorrower {
        /// Shard and epoch that the start names.
        borrower: Borrower,
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskId,
        /// Specification of its work.
        spec: Arc<WorkSpec>,
    },
    /// Reserve members of a gang job at other shards, beginning with `begin_borrowing`.
    Borrow {
        /// Work.
        work: WorkId,
    },
    /// Stop a task, or keep it from starting; the next inventory reports the result.
    Stop {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskId,
    },
    /// Let a worker forget finished tasks whose outcome is durable.
    Acknowledge {
        /// Worker.
        worker: WorkerId,
        /// Tasks.
        tasks: Vec<TaskId>,
    },
    /// Send a request to an executor; report with `on_request`.
    Request {
        /// Executor.
        executor: ExecutorId,
        /// Work.
        work: WorkId,
        /// Specification.
        spec: Arc<WorkSpec>,
        /// Longest time to wait for the answer.
        timeout: Millis,
    },
    /// Ask an executor how many slots are in use; report with `on_executor_status`.
    Poll {
        /// Executor.
        executor: ExecutorId,
    },
    /// Give the lease on a worker up.
    ReleaseLease {
        /// Worker.
        worker: WorkerId,
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// Reply to a waiting caller.
    Reply {
        /// Waiting caller.
        waiter: WaiterId,
        /// What it is told.
        reply: Reply,
    },
    /// The journal has entries to write.
    Commit,
    /// The shard must stop at once.
    Halt(crate::code::Refusal),
}
