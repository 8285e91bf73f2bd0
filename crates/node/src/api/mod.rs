//! Answers callers on any member: stores jobs and cancellations, and asks the owner for the state of a job.

mod cancel_job;
mod cancel_limiter;
mod job_api;
mod owner_client;
mod peer_forwarder;
mod store_job;
mod store_outcome;
mod stored_state;

pub(crate) use self::{
    cancel_job::cancel_job, cancel_limiter::CancelLimiter, job_api::JobApi, store_job::store_job,
    store_outcome::StoreOutcome,
};
