//! Who takes part: the system's own processes by heartbeat, and hosts by the platform's list and the operators.
//!
//! Shards are distributed by rendezvous hashing, so that every process computes the same owner from the same members
//! and a change moves only the shards of the member that came or went.

mod host_list_entry;
mod host_state;
mod host_states;
mod member;
mod members;
mod rendezvous;

pub use self::{
    host_list_entry::HostListEntry,
    host_state::HostState,
    host_states::HostStates,
    member::Member,
    members::Members,
    rendezvous::{home_shard, home_shard_among, preferred_process, rendezvous, stable_hash},
};
