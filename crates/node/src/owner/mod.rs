//! Ownership of the cell: read back what earlier owners left, then place work until another member takes over.
//!
//! An owner is driven by tasks that each wait for one thing: changes of jobs or executors in the store, ends on one
//! executor, records to write, or time. Each changes the dispatcher under its lock and leaves the calls that follow from
//! it to [`orders`].

mod attempt;
mod confirm;
mod drive_executor;
mod follow_executors;
mod follow_jobs;
mod heard;
mod keep;
mod lanes;
mod look;
mod office;
mod orders;
mod outcomes;
mod position;
mod recorder;
mod recover;
mod run;
mod shard;
mod succession;

pub(crate) use self::{office::Office, run::run, shard::Shard};
