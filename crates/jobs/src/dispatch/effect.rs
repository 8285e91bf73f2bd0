use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::unit::{Millis, Timestamp};

use crate::fleet::{ClockGeneration, ExecutorSlot};
use crate::id::{
    AdviceTicket, Checkpoint, Epoch, ExecutorId, Incarnation, JobId, MemberId, RunNumber, StepKey,
    TaskKey,
};

/// An action that the driver has to carry out.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Start a task.
    Start(StartRequest),
    /// Stop a run.
    Stop(StopRequest),
    /// Request advice from the adviser.
    RequestAdvice(AdviceRequest),
    /// Look up a job that an executor names in the store.
    LookUpJob(JobId),
    /// Give up the ownership, because a later owner exists.
    StepDown,
}

/// A request to start a task on an executor.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The executor's slot in the fleet.
    pub slot: ExecutorSlot,
    /// The executor.
    pub executor: ExecutorId,
    /// Incarnation of the executor for which the start was decided.
    pub incarnation: Option<Incarnation>,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Task to start.
    pub task: TaskKey,
    /// Number of the new run.
    pub number: RunNumber,
    /// The caller's payload.
    pub payload: Arc<str>,
    /// Saved progress to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// Ticket of the adviser's approval, if the queue needs one.
    pub ticket: Option<AdviceTicket>,
    /// Expiry of the lease on the executor's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Generation of that clock.
    pub clock_generation: ClockGeneration,
    /// Epoch of the owner, by which executors refuse the requests of earlier owners.
    pub epoch: Epoch,
}

/// A request to stop a run on an executor.
#[derive(Debug, Clone)]
pub struct StopRequest {
    /// The executor's slot in the fleet.
    pub slot: ExecutorSlot,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Task whose run is to stop.
    pub task: TaskKey,
    /// Number of the run.
    pub number: RunNumber,
    /// Epoch of the owner, by which executors refuse the requests of earlier owners.
    pub epoch: Epoch,
}

/// A request to the adviser for executors on which a step may run.
#[derive(Debug, Clone)]
pub struct AdviceRequest {
    /// Member of the cell that sends the request to the adviser.
    pub member: MemberId,
    /// The step.
    pub step: StepKey,
    /// Executors that the request names.
    pub executors: Vec<(ExecutorSlot, ExecutorId)>,
    /// Time that the adviser takes to answer.
    pub cost: Millis,
    /// When the dispatcher decided on the request.
    pub requested_at: Timestamp,
}
