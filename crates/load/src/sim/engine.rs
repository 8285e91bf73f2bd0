use lagoon_core::id::{ExecutorId, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{RequestResult, StartResult};
use lagoon_core::unit::Timestamp;
use lagoon_core::work::WorkSpec;

use crate::sim::JobNumber;
use crate::sim::action::Action;
use crate::sim::beat::Beat;

/// A scheduling policy under test. Each call may leave actions.
pub(crate) trait Engine {
    /// Takes a piece of work, whose payload is its number.
    fn submit(&mut self, job: JobNumber, spec: &WorkSpec, now: Timestamp);
    /// Cancels every second piece of waiting work; returns how many.
    fn cancel_half(&mut self, now: Timestamp) -> usize;
    /// Tells that a heartbeat is about to be sent; returns whether the whole inventory is wanted.
    fn heartbeat_due(&mut self, worker: &WorkerId, now: Timestamp) -> bool;
    /// Takes the answer to a heartbeat that was sent at `sent_at`.
    fn heartbeat(&mut self, worker: &WorkerId, beat: Beat, sent_at: Timestamp, now: Timestamp);
    /// Takes a heartbeat that was not answered.
    fn heartbeat_lost(&mut self, worker: &WorkerId, now: Timestamp);
    /// Takes the answer to a start.
    fn started(&mut self, worker: &WorkerId, task: &TaskId, result: StartResult, now: Timestamp);
    /// Takes the result of a request.
    fn answered(
        &mut self,
        executor: &ExecutorId,
        work: &WorkId,
        result: RequestResult,
        now: Timestamp,
    );
    /// Takes the status of an executor.
    fn status(&mut self, executor: &ExecutorId, in_use: u32, now: Timestamp);
    /// Applies what is due.
    fn tick(&mut self, now: Timestamp);
    /// Called at a time that the policy asked for.
    fn wake(&mut self, now: Timestamp);
    /// Takes the actions since the last call.
    fn take_actions(&mut self) -> Vec<Action>;
    /// Returns the assigned share of the dominant resource.
    fn share_in_use(&self) -> f64;
    /// Returns the number of calls to the store so far.
    fn store_calls(&self) -> u64;
}
