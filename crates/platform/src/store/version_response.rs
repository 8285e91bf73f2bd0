use serde::{Deserialize, Serialize};

/// Answer to a write: the new version, or with status 409 the current one, zero if the key doesn't exist.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionResponse {
    /// The version.
    pub version: u64,
}
