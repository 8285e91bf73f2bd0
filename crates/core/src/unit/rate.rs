use std::fmt;
use std::str::FromStr;

use crate::unit::ParseUnitError;
use crate::util::parse::{split_suffix, to_exact_integer};

quantity_type!(
    /// A rate in events per 1000 seconds, so that fractional rates per second are exact.
    Rate,
    u64
);

impl Rate {
    /// Creates a rate from events per second.
    pub const fn per_second(events: u64) -> Self {
        Self(events * 1_000)
    }

    /// Returns the rate in events per second.
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.as_per_second())
    }
}

impl FromStr for Rate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseUnitError::new(text, "a rate such as 500/s or 10/m");
        let (value, suffix) = split_suffix(text).ok_or_else(invalid)?;
        let scale = match suffix {
            "/s" => 1_000.0,
            "/m" => 1_000.0 / 60.0,
            _ => return Err(invalid()),
        };
        to_exact_integer((value * scale).round())
            .map(Self)
            .ok_or_else(invalid)
    }
}
