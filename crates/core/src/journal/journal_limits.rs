use crate::journal::Retention;
use crate::unit::{Bytes, Millis};

/// Size limits and delays of a journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JournalLimits {
    /// Maximum size of the entries in the head.
    pub tail: Bytes,
    /// Maximum size of a segment or snapshot part. Must be below the store's limit of 1 MB.
    pub value: Bytes,
    /// Number of segments after which a snapshot is due, provided that they are together as large as the last snapshot.
    pub segments: usize,
    /// Delay before the next request after the store refused one.
    pub refusal_backoff: Millis,
    /// Retention of ended work and commands.
    pub retention: Retention,
}

impl JournalLimits {
    /// Returns the number of segments after which a snapshot is always due, because each segment takes space in the
    /// head.
    pub fn max_segments(&self) -> usize {
        self.segments.saturating_mul(8)
    }

    /// Returns the maximum size of one entry, chosen so that it fits in a segment after a full tail.
    pub fn entry(&self) -> Bytes {
        let overhead = Bytes::new(64);
        self.value
            .saturating_sub(self.tail)
            .saturating_sub(overhead)
    }
}

impl Default for JournalLimits {
    fn default() -> Self {
        Self {
            tail: Bytes::new(32 << 10),
            value: Bytes::new(900_000),
            segments: 16,
            refusal_backoff: Millis::new(100),
            retention: Retention::default(),
        }
    }
}
