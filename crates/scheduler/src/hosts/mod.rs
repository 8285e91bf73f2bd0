//! Hosts of the failure domain, from the host list, with clients for their workers and executors.

mod host_directory;
mod poll;

pub(crate) use self::{host_directory::HostDirectory, poll::poll};
