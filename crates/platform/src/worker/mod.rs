//! Client of a worker and the JSON types of its API.
//!
//! A worker grants its own lease. A start request carries two fencing epochs: that of the worker's lease and that of
//! the task's shard. The worker refuses a lower epoch of either, so that a paused former owner can't start tasks.

mod acknowledge_request;
mod acknowledge_response;
mod checkpoint_response;
mod control_response;
mod fence_response;
mod inventory;
mod lease_outcome;
mod lease_refusal;
mod lease_refusal_reason;
mod lease_request;
mod lease_response;
mod release_request;
mod release_response;
mod shard_epoch;
mod start_outcome;
mod start_refusal;
mod start_refusal_reason;
mod start_request;
mod start_response;
mod task_report;
mod task_state;
mod throttle_request;
mod usage;
mod worker_client;

pub use self::{
    acknowledge_request::AcknowledgeRequest, acknowledge_response::AcknowledgeResponse,
    checkpoint_response::CheckpointResponse, control_response::ControlResponse,
    fence_response::FenceResponse, inventory::Inventory, lease_outcome::LeaseOutcome,
    lease_refusal::LeaseRefusal, lease_refusal_reason::LeaseRefusalReason,
    lease_request::LeaseRequest, lease_response::LeaseResponse, release_request::ReleaseRequest,
    release_response::ReleaseResponse, shard_epoch::ShardEpoch, start_outcome::StartOutcome,
    start_refusal::StartRefusal, start_refusal_reason::StartRefusalReason,
    start_request::StartRequest, start_response::StartResponse, task_report::TaskReport,
    task_state::TaskState, throttle_request::ThrottleRequest, usage::Usage,
    worker_client::WorkerClient,
};
