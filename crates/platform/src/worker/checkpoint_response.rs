use serde::{Deserialize, Serialize};

use crate::worker::TaskState;

/// Response of `POST /tasks/{id}/checkpoint`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckpointResponse {
    /// Name of the checkpoint; `None` if the task isn't running.
    pub checkpoint: Option<String>,
    /// State of the task.
    pub state: TaskState,
}
