use std::fmt;
use std::str::FromStr;

use crate::unit::ParseUnitError;
use crate::util::parse::{split_suffix, to_exact_integer};

quantity_type!(
    /// CPU capacity in thousandths of a core.
    Millicores,
    u64
);

impl fmt::Display for Millicores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for Millicores {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseUnitError::new(text, "cores such as 1.5 or millicores such as 1500m");
        let (value, suffix) = split_suffix(text).ok_or_else(invalid)?;
        let scale = match suffix {
            "" => 1_000.0,
            "m" => 1.0,
            _ => return Err(invalid()),
        };
        to_exact_integer(value * scale)
            .map(Self)
            .ok_or_else(invalid)
    }
}
