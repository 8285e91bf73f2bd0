use serde::{Deserialize, Serialize};

use crate::worker::TaskState;

/// Answer to an accepted start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartResponse {
    /// Whether the worker knew the task before, so that this request started nothing.
    pub already_known: bool,
    /// State of the task.
    pub state: TaskState,
}
