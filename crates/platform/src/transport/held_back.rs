use std::net::SocketAddr;

use tokio::time::Instant;

/// A new connection that is held back.
#[derive(Debug, Clone, Copy)]
pub struct HeldBack {
    /// Address of the server.
    pub address: SocketAddr,
    /// When it was begun, for a call that had been decided before.
    pub begun_at: Instant,
    /// When it was established.
    pub established_at: Instant,
}
