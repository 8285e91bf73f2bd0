use serde::{Deserialize, Serialize};

use crate::worker::TaskState;

/// Response of a stop or throttle request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlResponse {
    /// State of the task after the request.
    pub state: TaskState,
}
