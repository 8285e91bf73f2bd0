use std::net::SocketAddr;

use lagoon_core::unit::Millis;
use lagoon_platform::hosts::HostEntry;

/// Settings of the fake host list.
#[derive(Debug, Clone)]
pub struct HostListSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Delay until a change becomes visible.
    pub lag: Millis,
    /// Hosts that are visible from the start.
    pub hosts: Vec<HostEntry>,
}

impl Default for HostListSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: Millis::ZERO,
            hosts: Vec::new(),
        }
    }
}
