use std::fmt;

use crate::unit::Timestamp;

/// What a failure changed for a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing.
    None,
    /// The worker rests until this time.
    Rested(Timestamp),
    /// The worker would rest, but the largest share of workers already does.
    CapReached,
}

impl fmt::Display for HealthChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => f.write_str("none"),
            Self::Rested(until) => write!(f, "rested until {until}"),
            Self::CapReached => f.write_str("rested share at its cap"),
        }
    }
}
