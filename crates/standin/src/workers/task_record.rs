use lagoon_core::id::Sequence;
use lagoon_platform::worker::{TaskReport, TaskState};
use tokio::time::Instant;

/// A running task, or an ended task that was not acknowledged yet.
#[derive(Debug)]
pub(crate) struct TaskRecord {
    pub(crate) report: TaskReport,
    /// Sequence number of the last change of the task.
    pub(crate) last_change: Sequence,
    /// Time at which the task ends by itself.
    pub(crate) ends_at: Instant,
    /// State of the task after it has ended by itself.
    pub(crate) end_state: TaskState,
}
