use serde::{Deserialize, Serialize};

/// Response of a write: the new version, or with status 409 the current one, which is zero if the key doesn't exist.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionResponse {
    /// The version.
    pub version: u64,
}
