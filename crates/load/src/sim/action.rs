use lagoon_core::code::ResultCode;
use lagoon_core::id::{ExecutorId, TaskId, WorkId, WorkerId};
use lagoon_core::unit::Timestamp;

use crate::sim::JobNumber;

/// Action requested by a policy.
#[derive(Debug)]
pub(crate) enum Action {
    /// Start a task.
    Start {
        worker: WorkerId,
        task: TaskId,
        job: JobNumber,
    },
    /// Stop a task.
    Stop { worker: WorkerId, task: TaskId },
    /// Forget finished tasks.
    Acknowledge {
        worker: WorkerId,
        tasks: Vec<TaskId>,
    },
    /// Send a request to an executor.
    Request {
        executor: ExecutorId,
        work: WorkId,
        job: JobNumber,
    },
    /// Poll an executor for its slots in use.
    Poll { executor: ExecutorId },
    /// The job ended: it succeeded if `failure` is `None`, and was refused or cancelled otherwise.
    Ended {
        job: JobNumber,
        failure: Option<ResultCode>,
    },
    /// The job ran and failed.
    Failed { job: JobNumber },
    /// Call [`Engine::wake`](crate::sim::Engine::wake) at this time.
    Wake { at: Timestamp },
}
