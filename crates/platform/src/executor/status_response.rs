use serde::{Deserialize, Serialize};

/// Answer to `GET /status`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusResponse {
    /// Requests that run at a time.
    pub slots: u32,
    /// Requests that run now.
    pub in_use: u32,
}
