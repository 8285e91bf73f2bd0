use serde::{Deserialize, Serialize};

use crate::worker::TaskState;

/// Response of a start request that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartResponse {
    /// Whether the task existed on the worker already, in which case this request started nothing.
    pub already_known: bool,
    /// State of the task.
    pub state: TaskState,
}
