use std::fmt;

use lagoon_core::id::{HostId, RackId};

/// What is drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// One host.
    Host(HostId),
    /// Every host of a rack.
    Rack(RackId),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host(host) => write!(f, "host {host}"),
            Self::Rack(rack) => write!(f, "rack {rack}"),
        }
    }
}
