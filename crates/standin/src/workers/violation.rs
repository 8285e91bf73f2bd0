use lagoon_core::id::{TaskId, WorkerId};
use serde::{Deserialize, Serialize};

/// Something that the scheduler must never do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Worker that noticed it.
    pub worker: WorkerId,
    /// Task concerned.
    pub task: TaskId,
    /// What happened.
    pub what: String,
}
