//! Client of the host list and the JSON types of its API.

mod executor_entry;
mod host_entry;
mod host_list_client;
mod host_state;
mod worker_entry;

pub use self::{
    executor_entry::ExecutorEntry, host_entry::HostEntry, host_list_client::HostListClient,
    host_state::HostState, worker_entry::WorkerEntry,
};
