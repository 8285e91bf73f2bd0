use std::fmt;
use std::str::FromStr;

use crate::unit::ParseUnitError;

quantity_type!(
    /// Weight of a team in the fair share.
    Weight,
    u32
);

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Weight {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = |_| ParseUnitError::new(text, "a weight such as 3");
        text.parse().map(Self).map_err(invalid)
    }
}
