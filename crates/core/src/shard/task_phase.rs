/// State of a task as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task is running.
    Running,
    /// The task completed, with this output.
    Succeeded(String),
    /// The task ran and failed, with this error.
    Failed(String),
    /// The task was stopped.
    Stopped {
        /// False if it never started and never will.
        started: bool,
    },
}
