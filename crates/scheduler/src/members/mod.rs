//! Other processes of the system: who is alive, which shards they own, and which policy they have.

mod heartbeats;
mod member_table;
mod register;
mod successor;

pub(crate) use self::{
    heartbeats::{farewell, heartbeats},
    member_table::{MemberTable, SCHEDULER_ROLE},
    register::register,
    successor::Successor,
};
