use serde::{Deserialize, Serialize};

/// Response of `DELETE /lease`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseResponse {
    /// False if the caller did not hold the lease at that epoch.
    pub released: bool,
}
