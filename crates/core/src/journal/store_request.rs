use std::sync::Arc;

use crate::journal::{Head, Segment, StoreVersion};

/// Request to the store. At most one is outstanding at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Write a segment. Only this owner writes the key, so no expected version is needed.
    PutSegment {
        /// Key of the segment.
        key: String,
        /// Segment to write.
        value: Arc<Segment>,
    },
    /// Write one part of a snapshot, in the same way as a segment.
    PutSnapshot {
        /// Key of the snapshot part.
        key: String,
        /// Snapshot part to write.
        value: Arc<Segment>,
    },
    /// Replace the head if it still has the expected version.
    SwapHead {
        /// Key of the head.
        key: String,
        /// New head.
        value: Arc<Head>,
        /// Version that the key must have, or zero if the key must not exist.
        expected_version: StoreVersion,
    },
    /// Read the head and report it with [`Journal::on_head`](super::Journal::on_head).
    ReadHead {
        /// Key of the head.
        key: String,
    },
    /// Delete keys that no head refers to any more.
    DeleteKeys {
        /// Keys to delete.
        keys: Vec<String>,
    },
}
