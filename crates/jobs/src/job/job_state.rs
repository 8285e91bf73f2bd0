use std::fmt;
use std::str::FromStr;

use lagoon_core::id::ParseIdError;
use serde::{Deserialize, Serialize};

/// State of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks completed.
    Done,
    /// A task or gang used up its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Returns true if the job stays in this state.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for JobState {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [
            Self::Queued,
            Self::Running,
            Self::Done,
            Self::Failed,
            Self::Cancelled,
        ];
        let found = all.into_iter().find(|state| state.name() == text);
        found.ok_or_else(|| ParseIdError::new("job state", text))
    }
}
