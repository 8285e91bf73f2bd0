//! Ownership of the cell: recovers the state that earlier owners left, then places work until another member takes over.
//!
//! An owner consists of tasks that each wait for one source of events: changes of jobs or executors in the store, ended
//! runs of one executor, records to write, or a timer. Each changes the dispatcher under its lock and leaves the calls
//! that result to [`effects`].

mod confirm;
mod drive_executor;
mod effects;
mod follow_cell;
mod follow_executors;
mod follow_jobs;
mod hand_over;
mod hold_response;
mod identify_executors;
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
