use std::fmt;

use crate::unit::Timestamp;

/// Effect of a failure on the state of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The state is unchanged.
    None,
    /// The worker receives no new work until this time.
    Rested(Timestamp),
    /// The worker should rest, but the share of resting workers has reached its cap.
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
