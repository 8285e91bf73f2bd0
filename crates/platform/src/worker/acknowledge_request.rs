use lagoon_core::id::{Epoch, TaskId};
use serde::{Deserialize, Serialize};

/// Body of `POST /tasks/acknowledge`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeRequest {
    /// Epoch of the worker's lease.
    pub epoch: Epoch,
    /// Finished tasks whose outcome is recorded.
    pub tasks: Vec<TaskId>,
}
