use lagoon_core::id::ProcessId;
use lagoon_core::unit::{Bytes, Millis};

/// Name of the header that tells the callee which process calls.
pub const PROCESS_HEADER: &str = "x-process";

/// Settings of a transport.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Time from the start of a call to the end of its answer.
    pub request_timeout: Millis,
    /// Part of it that may pass before a connection exists. A call that fails here certainly had no effect.
    pub connect_timeout: Millis,
    /// Largest answer that is read.
    pub max_response: Bytes,
    /// Idle connections kept for each callee.
    pub idle_connections: usize,
    /// Name of the calling process, sent with each call.
    pub process: Option<ProcessId>,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            request_timeout: Millis::new(1_000),
            connect_timeout: Millis::new(500),
            max_response: Bytes::new(64 << 20),
            idle_connections: 8,
            process: None,
        }
    }
}
