use std::sync::Arc;

use crate::id::{Epoch, ExecutorId, TaskId, WorkId, WorkerId};
use crate::shard::{Borrower, Reply, WaiterId};
use crate::unit::Millis;
use crate::work::WorkSpec;

/// An action that the daemon performs after the state of a shard has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Start a task; report the result with `on_start`.
    Start {
        /// Worker id.
        worker: WorkerId,
        /// Task id.
        task: TaskId,
        /// Specification of the work.
        spec: Arc<WorkSpec>,
    },
    /// Start a task for another shard; report the result with `on_lent_start`.
    StartForBorrower {
        /// Borrowing shard and its epoch, sent with the start.
        borrower: Borrower,
        /// Worker id.
        worker: WorkerId,
        /// Task id.
        task: TaskId,
        /// Specification of the work.
        spec: Arc<WorkSpec>,
    },
    /// Reserve capacity for a gang job at other shards, beginning with `begin_borrowing`.
    Borrow {
        /// Id of the gang job.
        work: WorkId,
    },
    /// Stop a task, or prevent its start; the next inventory reports the result.
    Stop {
        /// Worker id.
        worker: WorkerId,
        /// Task id.
        task: TaskId,
    },
    /// Acknowledge finished tasks whose outcome is durable, so that the worker may forget them.
    Acknowledge {
        /// Worker id.
        worker: WorkerId,
        /// Task ids.
        tasks: Vec<TaskId>,
    },
    /// Send a request to an executor; report the result with `on_request`.
    Request {
        /// Executor id.
        executor: ExecutorId,
        /// Id of the work.
        work: WorkId,
        /// Specification of the work.
        spec: Arc<WorkSpec>,
        /// Timeout of the request.
        timeout: Millis,
    },
    /// Ask an executor how many slots are in use; report with `on_executor_status`.
    Poll {
        /// Executor id.
        executor: ExecutorId,
    },
    /// Release the lease on a worker.
    ReleaseLease {
        /// Worker id.
        worker: WorkerId,
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// Reply to a waiting caller.
    Reply {
        /// Waiter to reply to.
        waiter: WaiterId,
        /// Content of the reply.
        reply: Reply,
    },
    /// Write the pending journal entries.
    Commit,
    /// Stop the shard at once, for this reason.
    Halt(crate::code::Refusal),
}
