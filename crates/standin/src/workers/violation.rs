use lagoon_core::id::{TaskId, WorkerId};
use serde::{Deserialize, Serialize};

/// A violation of the scheduler's safety properties.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Worker that detected the violation.
    pub worker: WorkerId,
    /// Task that was started in violation.
    pub task: TaskId,
    /// Description of the violation.
    pub what: String,
}
