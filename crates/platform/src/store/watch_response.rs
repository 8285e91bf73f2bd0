use serde::{Deserialize, Serialize};

use crate::store::StoreEntry;

/// Response of `GET /watch`: the changes to keys with the prefix. Empty if nothing changed during the wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchResponse {
    /// Revision up to which changes are included; the next watch starts after it.
    pub revision: u64,
    /// Entries that were written, with their latest values.
    pub entries: Vec<StoreEntry>,
    /// Keys that were deleted or have expired.
    pub deleted: Vec<String>,
}
