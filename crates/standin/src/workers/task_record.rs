use lagoon_core::id::Sequence;
use lagoon_platform::worker::{TaskReport, TaskState};
use tokio::time::Instant;

/// A task that a worker remembers.
#[derive(Debug)]
pub(crate) struct TaskRecord {
    pub(crate) report: TaskReport,
    /// Sequence number of its last change.
    pub(crate) changed: Sequence,
    /// When it ends by itself.
    pub(crate) ends: Instant,
    /// State that it then has.
    pub(crate) ends_as: TaskState,
}
