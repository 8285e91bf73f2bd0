use serde::{Deserialize, Serialize};

use crate::store::StoreEntry;

/// Response of `GET /kv?prefix=p`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListResponse {
    /// Revision of the store that the list shows; a watch can start from it.
    pub revision: u64,
    /// Entries, sorted by key.
    pub entries: Vec<StoreEntry>,
}
