//! Other schedulers: which of them are alive, which shards they own, and which policy version they have.

mod adopt;
mod adoption;
mod heartbeats;
mod lenders;
mod member_table;
mod parse;
mod register;
mod successor;

pub(crate) use self::{
    adopt::adopt,
    adoption::Adoption,
    heartbeats::{announce_leaving, run_heartbeats},
    member_table::{MemberTable, SCHEDULER_ROLE},
    register::register,
    successor::Successor,
};
