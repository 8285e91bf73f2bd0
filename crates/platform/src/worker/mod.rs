//! Client of a worker and the JSON types of its protocol.
//!
//! A worker grants its lease itself. A start names two epochs: that of the worker's lease and that of the task's shard.
//! The worker refuses a lower one of either, so that a paused former owner can't start anything.

mod acknowledge_answer;
mod acknowledge_request;
mod checkpoint_answer;
mod control_answer;
mod fence_answer;
mod inventory;
mod lease_answer;
mod lease_outcome;
mod lease_refusal;
mod lease_refusal_reason;
mod lease_request;
mod release_answer;
mod release_request;
mod shard_epoch;
mod start_answer;
mod start_outcome;
mod start_refusal;
mod start_refusal_reason;
mod start_request;
mod task_report;
mod task_state;
mod throttle_request;
mod usage;
mod worker_client;

pub use self::{
    acknowledge_answer::AcknowledgeAnswer, acknowledge_request::AcknowledgeRequest,
    checkpoint_answer::CheckpointAnswer, control_answer::ControlAnswer, fence_answer::FenceAnswer,
    inventory::Inventory, lease_answer::LeaseAnswer, lease_outcome::LeaseOutcome,
    lease_refusal::LeaseRefusal, lease_refusal_reason::LeaseRefusalReason,
    lease_request::LeaseRequest, release_answer::ReleaseAnswer, release_request::ReleaseRequest,
    shard_epoch::ShardEpoch, start_answer::StartAnswer, start_outcome::StartOutcome,
    start_refusal::StartRefusal, start_refusal_reason::StartRefusalReason,
    start_request::StartRequest, task_report::TaskReport, task_state::TaskState,
    throttle_request::ThrottleRequest, usage::Usage, worker_client::WorkerClient,
};
