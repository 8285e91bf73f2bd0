//! The tasks that drive an owned shard: commits, heartbeats, fencing, ticks, and the calls that its effects ask for.
//!
//! Each task belongs to one ownership and ends with it, because it watches the phase of the cell. A shard changes its
//! owner by election ([`elect`]) or by a planned handover ([`hand_over`] at the owner, [`take_over`] at the successor).

mod balance;
mod borrow;
mod carry_out;
mod claim;
mod commits;
mod elect;
mod fencing;
mod follow;
mod give_up;
mod hand_over;
mod heartbeats;
mod leases;
mod lenders;
mod ownership;
mod requests;
mod starts;
mod take_over;
mod ticks;

pub(crate) use self::{
    balance::balance,
    carry_out::carry_out,
    elect::elect,
    give_up::give_up,
    hand_over::{HandOverReason, hand_over},
    take_over::{Offer, take_over},
};
