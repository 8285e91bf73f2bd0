use lagoon_core::id::{ExecutorId, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{RequestResult, StartResult};

use crate::sim::JobNumber;
use crate::sim::fault::Fault;

/// An event in virtual time.
#[derive(Debug)]
pub(crate) enum Event {
    /// The next job of a stream arrives.
    Arrival { stream: usize },
    /// A start request arrives at its worker.
    StartArrives {
        worker: WorkerId,
        task: TaskId,
        job: JobNumber,
    },
    /// The response to a start request arrives at the scheduler.
    StartResponse {
        worker: WorkerId,
        task: TaskId,
        result: StartResult,
    },
    /// A task ends.
    TaskEnd { worker: WorkerId, task: TaskId },
    /// A request arrives at its executor.
    RequestArrives {
        executor: ExecutorId,
        work: WorkId,
        job: JobNumber,
    },
    /// A request ends and its executor responds.
    RequestEnd { executor: ExecutorId, work: WorkId },
    /// A request to an unresponsive executor fails.
    RequestFailed {
        executor: ExecutorId,
        work: WorkId,
        result: RequestResult,
    },
    /// The status of an executor arrives at the scheduler.
    Status { executor: ExecutorId },
    /// A heartbeat is due, which renews the worker's lease.
    Heartbeat { worker: WorkerId },
    /// A periodic tick is due.
    Tick,
    /// A wake-up requested by the policy is due.
    Wake,
    /// A fault begins.
    Fault(Fault),
}
