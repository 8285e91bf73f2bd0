use serde::{Deserialize, Serialize};

use crate::unit::Bytes;

/// Bounds of a shard's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueuePolicy {
    /// Largest number of items.
    pub items: u64,
    /// Largest size of all items.
    pub bytes: Bytes,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            items: 100_000,
            bytes: Bytes::new(128 << 20),
        }
    }
}
