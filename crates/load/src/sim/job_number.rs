use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Index of a job in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct JobNumber(pub(crate) u64);

impl JobNumber {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for JobNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for JobNumber {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
