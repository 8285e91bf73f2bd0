use crate::worker::{LeaseRefusal, LeaseResponse};

/// Result of a lease request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The caller holds the lease from the moment of its request on.
    Granted(Box<LeaseResponse>),
    /// The caller doesn't hold the lease.
    Refused(LeaseRefusal),
}
