//! Fake host list, which exposes each change after a configurable lag.

mod host_list_handle;
mod host_list_settings;
mod host_list_state;

pub use self::{host_list_handle::HostListHandle, host_list_settings::HostListSettings};
