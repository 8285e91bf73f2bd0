use std::fmt;

/// Why a worker receives no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClosedReason {
    /// The shard holds no lease on the worker.
    NoLease,
    /// The worker is leaving, or an operator drains its host.
    Draining,
    /// The worker failed the tasks that it started, and rests for a time.
    Rested,
}

impl ClosedReason {
    pub(crate) const fn bit(self) -> u8 {
        match self {
            Self::NoLease => 1,
            Self::Draining => 2,
            Self::Rested => 4,
        }
    }
}

impl fmt::Display for ClosedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoLease => "no_lease",
            Self::Draining => "draining",
            Self::Rested => "rested",
        })
    }
}
