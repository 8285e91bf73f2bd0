//! The tasks that drive an owned shard: commits, heartbeats, fencing, ticks, and the calls that its effects request.
//!
//! Each task belongs to one ownership and is stopped when the phase of the cell shows its end. The owner of a shard
//! changes by election ([`elect`]) or by a planned handover ([`hand_over`] at the owner, [`take_over`] at the successor).

mod balance;
mod borrow;
mod borrowed_workers;
mod claim;
mod commits;
mod elect;
mod execute;
mod fencing;
mod hand_over;
mod heartbeats;
mod leases;
mod lender_client;
mod ownership;
mod release_ownership;
mod requests;
mod starts;
mod take_over;
mod ticks;

pub(crate) use self::{
    balance::balance,
    elect::elect,
    execute::execute,
    hand_over::{HandOverReason, hand_over},
    release_ownership::release_ownership,
    take_over::{HandOverOffer, take_over},
};
