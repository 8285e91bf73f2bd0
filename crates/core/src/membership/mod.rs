//! Members of the cluster, from heartbeats, and the states of hosts, from the platform's host list and operator
//! commands.
//!
//! Shards are distributed by rendezvous hashing, so every process computes the same owner from the same members, and a
//! change moves only the shards of the member that joined or left.

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
