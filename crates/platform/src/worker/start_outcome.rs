use crate::worker::{StartRefusal, TaskState};

/// Result of a start request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartOutcome {
    /// This request started the task.
    Started,
    /// The task existed on the worker already; this request started nothing.
    AlreadyKnown(TaskState),
    /// The task did not start.
    Refused(StartRefusal),
}
