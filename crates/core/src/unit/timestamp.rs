use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::unit::{Millis, ParseUnitError};

/// A point in time in milliseconds since the Unix epoch.
///
/// A process reads the wall clock once and then adds the time from a monotonic clock that also advances while the
/// process is suspended, so timestamps never go backwards within one process. Across hosts only deadlines are compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates a timestamp from milliseconds since the Unix epoch.
    pub const fn from_millis(value: u64) -> Self {
        Self(value)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time `wait` later.
    pub const fn after(self, wait: Millis) -> Self {
        Self(self.0.saturating_add(wait.get()))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
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
