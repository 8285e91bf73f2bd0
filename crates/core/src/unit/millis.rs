use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::unit::ParseUnitError;
use crate::util::parse::{split_suffix, to_exact_integer};

quantity_type!(
    /// A duration in milliseconds.
    Millis,
    u64
);

impl Millis {
    /// Converts to a [`Duration`].
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => f.write_str("0ms"),
            ms if ms % 3_600_000 == 0 => write!(f, "{}h", ms / 3_600_000),
            ms if ms % 60_000 == 0 => write!(f, "{}m", ms / 60_000),
            ms if ms % 1_000 == 0 => write!(f, "{}s", ms / 1_000),
            ms => write!(f, "{ms}ms"),
        }
    }
}

impl FromStr for Millis {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseUnitError::new(text, "a duration such as 300ms, 5s, 2m or 1h");
        let (value, suffix) = split_suffix(text).ok_or_else(invalid)?;
        let scale = match suffix {
            "ms" => 1.0,
            "s" => 1_000.0,
            "m" => 60_000.0,
            "h" => 3_600_000.0,
            "d" => 86_400_000.0,
            _ => return Err(invalid()),
        };
        to_exact_integer(value * scale)
            .map(Self)
            .ok_or_else(invalid)
    }
}
