use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Deserializer};

use crate::settings::text;

/// IP address and port. Host names are not accepted, because no process resolves names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Address(SocketAddr);

impl Address {
    /// Creates an address from a socket address.
    pub const fn new(address: SocketAddr) -> Self {
        Self(address)
    }

    /// Returns the socket address.
    pub const fn get(self) -> SocketAddr {
        self.0
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = |_| {
            format!("{text:?} is not valid: expected an IP address and port such as 127.0.0.1:7100")
        };
        text.parse().map(Self).map_err(invalid)
    }
}

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        text(deserializer)
    }
}
