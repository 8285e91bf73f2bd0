use std::fmt;

use serde::{Deserialize, Serialize};

use crate::code::Refusal;

/// How a piece of work ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran to its end; carries the whole answer.
    Succeeded(String),
    /// Ran and reported a failure of its own.
    Failed(String),
    /// Ended without a run to its end; the code's class tells whether it may have run.
    Refused(Refusal),
}

impl Outcome {
    /// Returns the name as used in messages.
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
