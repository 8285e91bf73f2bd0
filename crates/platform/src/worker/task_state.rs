use serde::{Deserialize, Serialize};

/// State of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TaskState {
    /// Holds its resources.
    Running,
    /// Ran to its end.
    Succeeded {
        /// The whole output.
        output: String,
    },
    /// Ended with an error of its own.
    Failed {
        /// The error.
        error: String,
    },
    /// Was stopped.
    Stopped {
        /// Whether it had started before.
        started: bool,
    },
}

impl TaskState {
    /// Tells whether the task holds resources.
    pub fn is_running(&self) -> bool {
        matches!(self, Self::Running)
    }
}
