use std::fmt;
use std::str::FromStr;

use crate::id::{Epoch, ParseIdError, Sequence};

/// Id of a reservation at its lender, written `epoch-sequence`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationId {
    epoch: Epoch,
    sequence: Sequence,
}

impl ReservationId {
    /// Creates the id of reservation number `sequence` of the lender's owner at `epoch`.
    pub const fn new(epoch: Epoch, sequence: Sequence) -> Self {
        Self { epoch, sequence }
    }
}

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.epoch, self.sequence)
    }
}

impl FromStr for ReservationId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("reservation", text);
        let (epoch, sequence) = text.split_once('-').ok_or_else(invalid)?;
        let epoch = epoch.parse().map_err(|_| invalid())?;
        let sequence = sequence.parse().map_err(|_| invalid())?;
        Ok(Self { epoch, sequence })
    }
}
