use std::fmt;

/// Phase of a worker's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerPhase {
    /// No lease is held.
    Unleased,
    /// The lease is held and renewed.
    Leased,
    /// The lease is held and the last renewal is late.
    Suspect,
    /// The lease is held and the host is leaving.
    Draining,
    /// The host is gone for good.
    Gone,
}

impl fmt::Display for WorkerPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unleased => "unleased",
            Self::Leased => "leased",
            Self::Suspect => "suspect",
            Self::Draining => "draining",
            Self::Gone => "gone",
        })
    }
}
