//! Ownership of the cell: read back what earlier owners left, then place work until another member takes over.
//!
//! An owner is driven by tasks that each wait for one thing: changes of jobs or executors in the store, ends on one
//! executor, records to write, or time. Each changes the dispatcher under its lock and leaves the calls that follow from
//! it to [`orders`].

mod confirm;
mod drive_executor;
mod effects;
mod follow_cell;
mod follow_executors;
mod follow_jobs;
mod hand_over;
mod hold_response;
mod lane_state;
mod lane_writer;
mod look_up_job;
mod outcome_waiters;
mod recorder;
mod recover;
mod run;
mod shard;
mod shard_handle;
mod write_outcome;

pub(crate) use self::{run::run, shard::Shard, shard_handle::ShardHandle};
