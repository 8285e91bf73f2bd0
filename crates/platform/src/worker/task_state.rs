use serde::{Deserialize, Serialize};

/// State of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TaskState {
    /// Running, with its resources allocated.
    Running,
    /// Ended without an error.
    Succeeded {
        /// Complete output.
        output: String,
    },
    /// Ended with an error of its own.
    Failed {
        /// Error that the task returned.
        error: String,
    },
    /// Stopped by a request or by the worker.
    Stopped {
        /// Whether it had started before it was stopped.
        started: bool,
    },
}

impl TaskState {
    /// Returns true if the task has resources allocated.
    pub fn is_running(&self) -> bool {
        matches!(self, Self::Running)
    }
}
