use crate::journal::Retention;
use crate::unit::{Bytes, Millis};

/// Sizes and waits of a journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JournalLimits {
    /// Largest size of the entries in the head.
    pub tail: Bytes,
    /// Largest size of a segment or snapshot part; below the store's 1 MB.
    pub value: Bytes,
    /// Number of segments after which a snapshot is due, if they are as large as the last one.
    pub segments: usize,
    /// Wait after the store refused a write.
    pub refusal_backoff: Millis,
    /// What is kept about the past.
    pub retention: Retention,
}

impl JournalLimits {
    /// Returns the number of segments after which a snapshot is due in any case, since each one takes room in the head.
    pub fn max_segments(&self) -> usize {
        self.segments.saturating_mul(8)
    }

    /// Returns the largest size of one entry, so that it fits in a segment behind a full tail.
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
