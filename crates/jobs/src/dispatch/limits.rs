use lagoon_core::unit::Millis;

/// Times that the platform and the settings give to a dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct DispatchLimits {
    /// Lease that each hold grants to what runs on an executor.
    pub lease: Millis,
    /// Longest lease that an executor grants.
    pub max_lease: Millis,
    /// Time for which a hold waits for an end.
    pub hold_wait: Millis,
    /// Time for which a final state is kept.
    pub retention: Millis,
    /// Time after the last confirmation of the ownership in which tasks are started: that of the owner's lease in the store,
    /// before whose end no other member claims.
    pub owner_lease: Millis,
    /// Time after the last confirmation in which leases of runs are renewed. A later owner counts on it.
    pub lease_renewal_window: Millis,
    /// Time without progress after which a run counts as stalled.
    pub stall_timeout: Millis,
    /// Lanes of records in use; they are written at the same time.
    pub record_lanes: usize,
}
