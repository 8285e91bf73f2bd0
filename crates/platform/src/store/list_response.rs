use serde::{Deserialize, Serialize};

use crate::store::StoreEntry;

/// Answer to `GET /kv?prefix=p`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListResponse {
    /// Revision of the store when the list was made; a watch can start from it.
    pub revision: u64,
    /// Entries in the order of their keys.
    pub entries: Vec<StoreEntry>,
}
