use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::ParseIdError;

/// Whether work may be started again after its host was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Never started again.
    AtMostOnce,
    /// Started again once the lost run has certainly ended.
    Restartable,
}

impl Repeatability {
    /// All values.
    pub const ALL: &[Self] = &[Self::AtMostOnce, Self::Restartable];

    /// Returns the name used in messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at_most_once",
            Self::Restartable => "restartable",
        }
    }
}

impl fmt::Display for Repeatability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Repeatability {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|value| value.as_str() == text);
        found
            .copied()
            .ok_or_else(|| ParseIdError::new("repeatability", text))
    }
}
