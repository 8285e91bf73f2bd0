use crate::unit::{Bytes, Millis};

/// Limits of a ticket table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketLimits {
    /// Maximum number of tickets that are unused, in flight, or answered and not confirmed.
    pub outstanding: usize,
    /// Maximum total size of the retained answers.
    pub answer_bytes: Bytes,
    /// How long an unused ticket stays valid, and how long an answer is retained.
    pub lifetime: Millis,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            outstanding: 200_000,
            answer_bytes: Bytes::new(64 << 20),
            lifetime: Millis::new(120_000),
        }
    }
}
