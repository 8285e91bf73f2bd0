use lagoon_core::id::Incarnation;
use serde::{Deserialize, Serialize};

use crate::worker::TaskReport;

/// Response of `POST /tasks/fence`: all tasks of the shard on the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceResponse {
    /// Incarnation of the worker. A restarted worker has lost the tasks of its earlier incarnations.
    pub incarnation: Incarnation,
    /// Running and ended tasks.
    pub tasks: Vec<TaskReport>,
}
