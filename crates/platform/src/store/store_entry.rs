use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Revision of the store that wrote the value.
    pub version: u64,
}
