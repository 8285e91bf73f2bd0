use lagoon_core::unit::{Bytes, Millis};

/// What a sender may take.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest body.
    pub max_body: Bytes,
    /// Time for a header, and again for a body, to arrive whole.
    pub read_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: Bytes::new(1 << 20),
            read_timeout: Millis::new(10_000),
        }
    }
}
