use serde::{Deserialize, Serialize};

/// Answer to `POST /tasks/acknowledge`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeResponse {
    /// Number of tasks that the worker forgot; running and unknown tasks don't count.
    pub forgotten: u32,
}
