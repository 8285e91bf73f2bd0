use std::sync::Arc;

use crate::journal::{Head, Segment, SegmentRef};

/// Next head, which was sent to the store or is about to be.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) head: Arc<Head>,
    /// Number of pending entries that the head makes durable.
    pub(super) entries: usize,
    pub(super) tail_bytes: u64,
    /// An answer was lost, so the head may still take effect and must be sent again unchanged.
    pub(super) in_doubt: bool,
}

/// Segment or snapshot parts that are written before a head refers to them.
#[derive(Debug)]
pub(super) struct StagedValues {
    pub(super) reference: SegmentRef,
    pub(super) parts: Vec<Arc<Segment>>,
    pub(super) written: usize,
    pub(super) snapshot: bool,
    pub(super) bytes: u64,
    /// Number of pending entries that the segment holds after the committed tail.
    pub(super) entries: usize,
}

impl StagedValues {
    pub(super) fn complete(&self) -> bool {
        self.written == self.parts.len()
    }
}
