//! Answers callers on any member: stores jobs and cancellations, and asks the owner how far a job is.

#[expect(clippy::module_inception, reason = "one type per file")]
mod desk;
mod owner_view;
mod store_job;
mod stored;

pub(crate) use self::{
    desk::Desk,
    store_job::{Stored, store_job},
};
