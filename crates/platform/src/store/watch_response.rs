use serde::{Deserialize, Serialize};

use crate::store::StoreEntry;

/// Answer to `GET /watch`: what changed below the prefix. Empty if nothing changed during the wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchResponse {
    /// Revision up to which changes are contained; the next watch starts after it.
    pub revision: u64,
    /// Entries that were written, in their latest form.
    pub entries: Vec<StoreEntry>,
    /// Keys that were deleted or have expired.
    pub deleted: Vec<String>,
}
