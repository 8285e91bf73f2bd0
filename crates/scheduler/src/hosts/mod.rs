//! Hosts of the failure domain as the host list names them, with the clients of their workers and executors.

mod host_directory;
mod poll;

pub(crate) use self::{host_directory::HostDirectory, poll::poll};
