use serde::{Deserialize, Serialize};

/// Response of `POST /tasks/acknowledge`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeResponse {
    /// Number of tasks that the worker removed; running and unknown tasks don't count.
    pub forgotten: u32,
}
