//! The tasks that drive an owned shard: commits, heartbeats, fencing, ticks, and the calls that its effects ask for.
//!
//! Each task belongs to one ownership and ends with it, because it watches the phase of the cell.

mod carry_out;
mod claim;
mod commits;
mod elect;
mod fencing;
mod heartbeats;
mod ownership;
mod requests;
mod starts;
mod ticks;

pub(crate) use self::{carry_out::carry_out, elect::elect};
