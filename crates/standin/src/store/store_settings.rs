use std::net::SocketAddr;

use lagoon_core::unit::{Bytes, Rate};

/// Settings of the fake store.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Rate limit of writes: puts, deletions, lease grants and renewals.
    pub writes: Rate,
    /// Rate limit of reads: gets, lists and watches.
    pub reads: Rate,
    /// Maximum size of a value.
    pub max_value: Bytes,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes: Rate::per_second(500),
            reads: Rate::per_second(2_000),
            max_value: Bytes::new(1_000_000),
        }
    }
}
