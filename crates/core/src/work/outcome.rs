use std::fmt;

use serde::{Deserialize, Serialize};

use crate::code::Refusal;

/// How a piece of work ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran to completion, with the complete answer.
    Succeeded(String),
    /// Ran and reported a failure, with its message.
    Failed(String),
    /// Ended without running to completion. The class of the code tells whether it may have run.
    Refused(Refusal),
}

impl Outcome {
    /// Returns the name used in messages.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Succeeded(_) => "succeeded",
            Self::Failed(_) => "failed",
            Self::Refused(_) => "refused",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
