use std::sync::Arc;

use crate::journal::{Head, Segment, StoreVersion};

/// The next call to the store. Exactly one is outstanding at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Write a segment. The key belongs to this owner, so the write needs no expected version.
    PutSegment {
        /// Key.
        key: String,
        /// Value.
        value: Arc<Segment>,
    },
    /// Write one part of a snapshot; like a segment.
    PutSnapshot {
        /// Key.
        key: String,
        /// Value.
        value: Arc<Segment>,
    },
    /// Replace the head if it still has the expected version.
    SwapHead {
        /// Key.
        key: String,
        /// Value.
        value: Arc<Head>,
        /// Version that the key must have; zero if it must not exist.
        expected_version: StoreVersion,
    },
    /// Read the head and report it with `on_head`.
    ReadHead {
        /// Key.
        key: String,
    },
    /// Delete keys that no head refers to any longer.
    DeleteKeys {
        /// Keys.
        keys: Vec<String>,
    },
}
