use lagoon_core::unit::Millis;

/// Times and limits of a dispatcher, from the platform and the settings.
#[derive(Debug, Clone, Copy)]
pub struct DispatchLimits {
    /// Lease that each hold grants to the runs of an executor.
    pub lease: Millis,
    /// Longest lease that an executor accepts.
    pub max_lease: Millis,
    /// Longest time after which an unanswered request to an executor may still take effect.
    pub max_request_delay: Millis,
    /// Longest time for which a hold waits for an end.
    pub hold_wait: Millis,
    /// Time for which the final state of a job is kept.
    pub retention: Millis,
    /// Time for which the cancellation of a job that is not stored is kept: longer than a write of the job that was not answered
    /// may take until it takes effect.
    pub cancellation_retention: Millis,
    /// Time after the last confirmation of the ownership within which tasks are started: the time to live of the owner's
    /// lease in the store, before whose expiry no other member claims the cell.
    pub owner_lease: Millis,
    /// Time after the last confirmation of the ownership within which leases of runs are renewed. A later owner relies on it.
    pub lease_renewal_window: Millis,
    /// Time without progress after which a run is stopped as stalled.
    pub stall_timeout: Millis,
    /// Number of record lanes in use; they are written concurrently.
    pub record_lanes: usize,
}
