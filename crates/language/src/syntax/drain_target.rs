use std::fmt;

use lagoon_core::id::{HostId, RackId};

/// The hosts that a drain applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainTarget {
    /// A single host.
    Host(HostId),
    /// Every host of a rack.
    Rack(RackId),
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host(host) => write!(f, "host {host}"),
            Self::Rack(rack) => write!(f, "rack {rack}"),
        }
    }
}
