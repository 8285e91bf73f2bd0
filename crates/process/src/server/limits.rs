use lagoon_core::unit::{Bytes, Millis};

/// Largest head of a request, which is also the read buffer of a connection. Longer heads are refused with 431.
pub(super) const MAX_HEAD: Bytes = Bytes::new(32 << 10);

/// Limits on incoming requests.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a body.
    pub max_body: Bytes,
    /// Time allowed to receive the complete header, and then again the complete body.
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
