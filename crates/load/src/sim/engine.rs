use lagoon_core::id::{ExecutorId, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{RequestResult, StartResult};
use lagoon_core::unit::Timestamp;
use lagoon_core::work::WorkSpec;

use crate::sim::JobNumber;
use crate::sim::action::Action;
use crate::sim::heartbeat_response::HeartbeatResponse;

/// A scheduling policy under test. Each call may produce actions, returned by [`take_actions`](Self::take_actions).
pub(crate) trait Engine {
    /// Submits a job. The payload of the spec is the job number.
    fn submit(&mut self, job: JobNumber, spec: &WorkSpec, now: Timestamp);
    /// Cancels every second waiting job. Returns the number of cancelled jobs.
    fn cancel_half(&mut self, now: Timestamp) -> usize;
    /// Called before a heartbeat is sent. Returns true if the worker should report its full inventory.
    fn begin_heartbeat(&mut self, worker: &WorkerId, now: Timestamp) -> bool;
    /// Handles the response to a heartbeat that was sent at `sent_at`.
    fn heartbeat(
        &mut self,
        worker: &WorkerId,
        response: HeartbeatResponse,
        sent_at: Timestamp,
        now: Timestamp,
    );
    /// Handles a heartbeat without a response.
    fn heartbeat_lost(&mut self, worker: &WorkerId, now: Timestamp);
    /// Handles the result of a start.
    fn on_start_result(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        result: StartResult,
        now: Timestamp,
    );
    /// Handles the result of a request.
    fn on_request_result(
        &mut self,
        executor: &ExecutorId,
        work: &WorkId,
        result: RequestResult,
        now: Timestamp,
    );
    /// Handles the status of an executor.
    fn on_executor_status(&mut self, executor: &ExecutorId, in_use: u32, now: Timestamp);
    /// Runs periodic work.
    fn tick(&mut self, now: Timestamp);
    /// Called at the time of an [`Action::Wake`].
    fn wake(&mut self, now: Timestamp);
    /// Returns the actions since the last call.
    fn take_actions(&mut self) -> Vec<Action>;
    /// Returns the allocated share of the dominant resource.
    fn share_in_use(&self) -> f64;
    /// Returns the number of calls to the store so far.
    fn store_calls(&self) -> u64;
}
