use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::unit::{Millis, Timestamp};

use crate::fleet::ExecutorSlot;
use crate::id::{
    AdviceTicket, Checkpoint, Epoch, ExecutorId, JobId, MemberId, RunNumber, StepKey, TaskKey,
};

/// Something that the driver has to carry out.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Start a task.
    Start(StartRequest),
    /// Stop a run.
    Stop(StopRequest),
    /// Ask the adviser.
    RequestAdvice(AdviceRequest),
    /// Look in the store for a job that an executor names.
    LookUpJob(JobId),
    /// Cease to be the owner, because a later one exists.
    StepDown,
}

/// Start a task on an executor.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The executor's place in the fleet.
    pub slot: ExecutorSlot,
    /// The executor.
    pub executor: ExecutorId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub number: RunNumber,
    /// What the caller gave for the task.
    pub payload: Arc<str>,
    /// Saved progress to resume from.
    pub checkpoint: Option<Checkpoint>,
    /// The adviser's consent.
    pub ticket: Option<AdviceTicket>,
    /// End of the lease on the executor's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Epoch of the owner.
    pub epoch: Epoch,
}

/// Stop a run on an executor.
#[derive(Debug, Clone)]
pub struct StopRequest {
    /// The executor's place in the fleet.
    pub slot: ExecutorSlot,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub number: RunNumber,
    /// Epoch of the owner.
    pub epoch: Epoch,
}

/// Ask the adviser where a step may run.
#[derive(Debug, Clone)]
pub struct AdviceRequest {
    /// Member of the cell that asks.
    pub member: MemberId,
    /// The step.
    pub step: StepKey,
    /// Executors to name.
    pub executors: Vec<(ExecutorSlot, ExecutorId)>,
    /// Time that the adviser takes.
    pub cost: Millis,
    /// When the question was decided.
    pub requested_at: Timestamp,
}
