use lagoon_core::unit::{Bytes, Millis, Rate};
use rustix::process::{Resource, getrlimit};

/// Largest head of a request, which is also the read buffer of a connection. Longer heads are refused with 431.
pub(super) const MAX_HEAD: Bytes = Bytes::new(32 << 10);
/// Memory of a request that takes no part of [`Limits::request_memory`], so that ordinary requests are served while that
/// memory is used up.
pub(super) const UNRESERVED: Bytes = Bytes::new(8 << 10);
/// Rate at which small chunks are read from all connections together. Each takes as much processor time as a chunk of
/// ordinary size.
pub(super) const SMALL_CHUNK_RATE: Rate = Rate::per_second(32_000);

/// Limits on the connections and requests of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a body.
    pub max_body: Bytes,
    /// Time allowed to receive the complete header, then again the complete body, and for the client to read a part of
    /// the response.
    pub read_timeout: Millis,
    /// Maximum number of open connections; at most a third of the descriptors that the process may open.
    pub max_connections: u32,
    /// Maximum memory for the heads and bodies of all requests, beside a fixed part for each connection.
    pub request_memory: Bytes,
}

impl Limits {
    /// Returns the limits with at most a third of the descriptors that the process may open for connections. A request
    /// may need another one for a call to the store, and calls of the process itself need the rest.
    pub(super) fn within_descriptors(self) -> Self {
        let Some(descriptors) = getrlimit(Resource::Nofile).current else {
            return self;
        };
        let third = u32::try_from(descriptors / 3).unwrap_or(u32::MAX).max(1);
        let max_connections = self.max_connections.min(third);
        Self {
            max_connections,
            ..self
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: Bytes::new(1 << 20),
            read_timeout: Millis::new(10_000),
            max_connections: 10_000,
            request_memory: Bytes::new(8 << 20),
        }
    }
}
