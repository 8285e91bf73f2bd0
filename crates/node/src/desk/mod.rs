//! Answers callers on any member: stores jobs and cancellations, and asks the owner how far a job is.

mod cancel_job;
#[expect(clippy::module_inception, reason = "one type per file")]
mod desk;
mod owner_view;
mod store_job;
mod store_outcome;
mod stored;
mod through_peers;

pub(crate) use self::{
    cancel_job::cancel_job, desk::Desk, store_job::store_job, store_outcome::Stored,
};
