use crate::worker::{LeaseRefusal, LeaseResponse};

/// Result of a lease request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The caller holds the lease; its time to live counts from the moment of the request.
    Granted(Box<LeaseResponse>),
    /// The caller doesn't hold the lease.
    Refused(LeaseRefusal),
}
