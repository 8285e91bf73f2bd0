use crate::worker::{LeaseAnswer, LeaseRefusal};

/// Result of a lease request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The caller holds the lease from the moment of its request on.
    Granted(Box<LeaseAnswer>),
    /// The caller doesn't hold the lease.
    Refused(LeaseRefusal),
}
