use crate::id::Epoch;

/// Input of the worker life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEvent {
    /// The worker granted or renewed the lease.
    Granted(Epoch),
    /// A renewal was not answered in time.
    RenewalTimedOut,
    /// The lease expired, or the worker refused it.
    LeaseEnded,
    /// The host list or an operator marked the host as leaving.
    HostLeaving,
    /// The host accepts new work again.
    HostReturned,
    /// The host was confirmed dead, or its last task ended while it was leaving.
    HostGone,
}
