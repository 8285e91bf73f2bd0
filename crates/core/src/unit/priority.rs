use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::unit::ParseUnitError;

const EXPECTED: &str = "a priority from 0 (least urgent) to 100 (most urgent)";

/// Priority of work, from 0 (least urgent) to 100 (most urgent).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Priority(u8);

impl Priority {
    /// The least urgent priority.
    pub const LOWEST: Self = Self(0);
    /// The default priority.
    pub const NORMAL: Self = Self(50);
    /// The most urgent priority.
    pub const HIGHEST: Self = Self(100);
    /// Lowest priority that counts as urgent.
    pub const URGENT: Self = Self(80);

    /// Returns the priority as an integer.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// Returns true if work of this priority is urgent.
    pub fn is_urgent(self) -> bool {
        self >= Self::URGENT
    }
}

impl Default for Priority {
    fn default() -> Self {
        Self::NORMAL
    }
}

impl TryFrom<u8> for Priority {
    type Error = ParseUnitError;

    fn try_from(value: u8) -> Result<Self, Self::Error> {
        let invalid = || ParseUnitError::new(&value.to_string(), EXPECTED);
        (value <= Self::HIGHEST.0)
            .then_some(Self(value))
            .ok_or_else(invalid)
    }
}

impl From<Priority> for u8 {
    fn from(priority: Priority) -> u8 {
        priority.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let value: u8 = text
            .parse()
            .map_err(|_| ParseUnitError::new(text, EXPECTED))?;
        Self::try_from(value)
    }
}
