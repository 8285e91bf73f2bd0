use lagoon_core::id::ProcessId;
use lagoon_core::unit::{Bytes, Millis};

use crate::transport::ConnectionGate;

/// Header with the id of the calling process.
pub const PROCESS_HEADER: &str = "x-process";

/// Settings of a transport.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Time limit from the start of a call to the end of its response.
    pub request_timeout: Millis,
    /// Time limit for a new connection, within the request timeout. A call that exceeds it had no effect.
    pub connect_timeout: Millis,
    /// Largest accepted response body.
    pub max_response: Bytes,
    /// Idle connections kept open to each server.
    pub idle_connections: usize,
    /// Id of the calling process, sent with each call.
    pub process: Option<ProcessId>,
    /// Gate that new connections have to pass before a call is sent on them, within the request timeout.
    pub gate: Option<ConnectionGate>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            request_timeout: Millis::new(1_000),
            connect_timeout: Millis::new(500),
            max_response: Bytes::new(64 << 20),
            idle_connections: 8,
            process: None,
            gate: None,
        }
    }
}
