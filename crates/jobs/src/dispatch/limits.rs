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
    /// Time after which an earlier owner has ceased to renew leases.
    pub owner_lapse: Millis,
    /// Time without progress after which a run counts as stalled.
    pub stall: Millis,
    /// Lanes of records in use; they are written at the same time.
    pub record_lanes: usize,
}
