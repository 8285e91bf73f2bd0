use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::ParseIdError;

/// How the tasks of one piece of work are distributed over racks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    /// On as few hosts as possible.
    Pack,
    /// Over as many racks as possible.
    Racks,
}

impl Spread {
    /// All values.
    pub const ALL: &[Self] = &[Self::Pack, Self::Racks];

    /// Returns the name used in messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Pack => "pack",
            Self::Racks => "racks",
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Spread {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|value| value.as_str() == text);
        found
            .copied()
            .ok_or_else(|| ParseIdError::new("spread", text))
    }
}
