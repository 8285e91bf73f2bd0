use std::sync::Arc;

use crate::journal::{Head, Segment, SegmentRef};

/// A head that was sent, or is about to be.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) head: Arc<Head>,
    /// Number of pending entries that it makes durable.
    pub(super) entries: usize,
    pub(super) tail_bytes: u64,
    /// An answer was lost, so this head may still take effect and must be repeated unchanged.
    pub(super) in_doubt: bool,
}

/// A segment or the parts of a snapshot, written before a head refers to them.
#[derive(Debug)]
pub(super) struct Staged {
    pub(super) reference: SegmentRef,
    pub(super) parts: Vec<Arc<Segment>>,
    pub(super) written: usize,
    pub(super) snapshot: bool,
    pub(super) bytes: u64,
    /// Number of pending entries that a segment holds behind the committed tail.
    pub(super) entries: usize,
}

impl Staged {
    pub(super) fn complete(&self) -> bool {
        self.written == self.parts.len()
    }
}
