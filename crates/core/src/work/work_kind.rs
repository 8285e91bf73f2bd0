use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::ParseIdError;

/// Kind of work; shares and ceilings are set for each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// Short request to a service's executor.
    Service,
    /// One task on a worker.
    Batch,
    /// Several equal tasks that start together or not at all.
    Gang,
}

impl WorkKind {
    /// All values.
    pub const ALL: &[Self] = &[Self::Service, Self::Batch, Self::Gang];

    /// Returns the name used in messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Batch => "batch",
            Self::Gang => "gang",
        }
    }
}

impl fmt::Display for WorkKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for WorkKind {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|value| value.as_str() == text);
        found
            .copied()
            .ok_or_else(|| ParseIdError::new("kind of work", text))
    }
}
