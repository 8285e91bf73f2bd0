use std::fmt;

use serde::{Deserialize, Serialize};

use crate::work::Outcome;

/// State of a piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkState {
    /// Accepted and waiting to be placed.
    Waiting,
    /// Held by an operator.
    Held,
    /// Start sent to its hosts.
    Starting,
    /// All of its tasks run.
    Running,
    /// May have started on a host that can't be reached.
    Unresolved,
    /// Ended.
    Ended(Outcome),
}

impl WorkState {
    /// Returns the name used in messages.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Held => "held",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Unresolved => "unresolved",
            Self::Ended(outcome) => outcome.as_str(),
        }
    }
}

impl fmt::Display for WorkState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
