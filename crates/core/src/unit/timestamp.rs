use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::unit::{Millis, ParseUnitError};

/// A point in time in milliseconds since the Unix epoch.
///
/// A process anchors it once to the wall clock and then advances it by a clock that runs on while the process is
/// paused, so it never goes back within one process. Only deadlines are compared between hosts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Wraps milliseconds since the Unix epoch.
    pub const fn from_millis(value: u64) -> Self {
        Self(value)
    }

    /// Returns milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `wait` later.
    pub const fn after(self, wait: Millis) -> Self {
        Self(self.0.saturating_add(wait.get()))
    }

    /// Returns the time that passed since `earlier`, zero if it lies ahead.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis::new(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Timestamp {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = |_| ParseUnitError::new(text, "milliseconds since the Unix epoch");
        text.parse().map(Self).map_err(invalid)
    }
}
