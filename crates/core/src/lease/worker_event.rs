use crate::id::Epoch;

/// What happens to a worker from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerEvent {
    /// The worker granted or renewed the lease.
    Granted(Epoch),
    /// A renewal got no answer in time.
    RenewalTimedOut,
    /// The lease ran out, or the worker refused it.
    LeaseEnded,
    /// The host list or an operator marks the host as leaving.
    HostLeaving,
    /// The host takes new work again.
    HostReturned,
    /// The host is confirmed dead or its last task ended while it was leaving.
    HostGone,
}
