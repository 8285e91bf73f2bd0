use std::fmt;
use std::str::FromStr;

use crate::id::{Epoch, ParseIdError};

/// Number of an attempt to start a task, written `epoch.number`. The epoch is that of the owner that makes the attempt,
/// so that attempts of different owners never collide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    epoch: Epoch,
    number: u32,
}

impl Attempt {
    /// Creates the id of attempt `number` by the owner at `epoch`.
    pub const fn new(epoch: Epoch, number: u32) -> Self {
        Self { epoch, number }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

impl FromStr for Attempt {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("attempt", text);
        let (epoch, number) = text.split_once('.').ok_or_else(invalid)?;
        let epoch = epoch.parse().map_err(|_| invalid())?;
        let number = number.parse().map_err(|_| invalid())?;
        Ok(Self { epoch, number })
    }
}
