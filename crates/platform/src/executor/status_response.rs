use serde::{Deserialize, Serialize};

/// Response of `GET /status`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusResponse {
    /// Requests that can run at a time.
    pub slots: u32,
    /// Requests that are running.
    pub in_use: u32,
}
