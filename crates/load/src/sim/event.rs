use lagoon_core::id::{ExecutorId, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{RequestResult, StartResult};

use crate::sim::JobNumber;
use crate::sim::fault::Fault;

/// What happens at a time.
#[derive(Debug)]
pub(crate) enum Event {
    /// The next piece of work of a stream arrives.
    Arrival { stream: usize },
    /// A start reaches its worker.
    StartArrives {
        worker: WorkerId,
        task: TaskId,
        job: JobNumber,
    },
    /// The answer to a start arrives.
    StartAnswered {
        worker: WorkerId,
        task: TaskId,
        result: StartResult,
    },
    /// A task reaches its end.
    TaskEnds { worker: WorkerId, task: TaskId },
    /// A request reaches its executor.
    RequestArrives {
        executor: ExecutorId,
        work: WorkId,
        job: JobNumber,
    },
    /// An executor answers.
    RequestEnds { executor: ExecutorId, work: WorkId },
    /// The result of a request that the executor did not answer.
    RequestGivenUp {
        executor: ExecutorId,
        work: WorkId,
        result: RequestResult,
    },
    /// The status of an executor arrives.
    Status { executor: ExecutorId },
    /// A worker's lease is to be renewed.
    Heartbeat { worker: WorkerId },
    /// Time passes.
    Tick,
    /// The policy asked to be called.
    Wake,
    /// A fault sets in.
    Fault(Fault),
}
