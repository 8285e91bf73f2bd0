/// What a worker says about a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskPhase {
    /// It runs.
    Running,
    /// It ran to its end.
    Succeeded(String),
    /// It ran and reported a failure.
    Failed(String),
    /// It was stopped.
    Stopped {
        /// False if it never started and never will.
        started: bool,
    },
}
