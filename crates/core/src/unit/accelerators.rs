use std::fmt;
use std::str::FromStr;

use crate::unit::ParseUnitError;

quantity_type!(
    /// A number of accelerators.
    Accelerators,
    u32
);

impl fmt::Display for Accelerators {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Accelerators {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = |_| ParseUnitError::new(text, "a number of accelerators such as 2");
        text.parse().map(Self).map_err(invalid)
    }
}
