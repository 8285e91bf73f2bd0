use std::fmt;
use std::str::FromStr;

use crate::unit::ParseUnitError;

quantity_type!(
    /// A percentage. `Policy::validate` reports values above 100.
    Percent,
    u8
);

impl Percent {
    /// 100 percent.
    pub const FULL: Self = Self(100);

    /// Returns the share as a fraction.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Returns this percentage of `whole`, rounded down; values above 100 count as 100.
    pub fn of(self, whole: u64) -> u64 {
        (u128::from(whole) * u128::from(self.0.min(100)) / 100) as u64
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Percent {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseUnitError::new(text, "a percentage such as 20%");
        let digits = text.strip_suffix('%').ok_or_else(invalid)?;
        digits.parse().map(Self).map_err(|_| invalid())
    }
}
