use lagoon_core::id::Incarnation;
use serde::{Deserialize, Serialize};

use crate::worker::TaskReport;

/// Answer to `POST /tasks/fence`: all tasks of the shard that the worker knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceResponse {
    /// Run of the worker; a later one has lost the tasks of this one.
    pub incarnation: Incarnation,
    /// Tasks, running and finished.
    pub tasks: Vec<TaskReport>,
}
