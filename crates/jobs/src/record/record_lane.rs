use std::fmt;
use std::str::FromStr;

use lagoon_core::id::ParseIdError;

use crate::id::JobId;

/// One of several independent sequences of writes to the store. All writes of a job under one owner use the same lane,
/// so that a late write never replaces a newer one of the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordLane(u8);

impl RecordLane {
    /// Largest number of lanes. A cell has a key for each; the conditions and writes of all fit into one transaction.
    pub const COUNT: usize = 4;

    /// The first lane, which is always in use.
    pub const FIRST: Self = Self(0);

    /// Returns all lanes, whether in use or not.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT as u8).map(Self)
    }

    /// Returns the lane of a job if `lanes` lanes are in use.
    pub fn of(job: JobId, lanes: usize) -> Self {
        let lanes = lanes.clamp(1, Self::COUNT) as u32;
        Self((job.low_bits() % lanes) as u8)
    }

    /// Returns the lane as an index.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for RecordLane {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RecordLane {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.parse::<u8>().ok();
        let known = number.filter(|number| usize::from(*number) < Self::COUNT);
        known
            .map(Self)
            .ok_or_else(|| ParseIdError::new("record lane", text))
    }
}
