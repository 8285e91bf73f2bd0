use std::fmt;

/// Phase in the life cycle of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerPhase {
    /// No lease is held on the worker.
    Unleased,
    /// The lease is held and renewals are answered.
    Leased,
    /// The lease is held and the last renewal timed out.
    Suspect,
    /// The lease is held and the host is leaving.
    Draining,
    /// The host was removed permanently.
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
