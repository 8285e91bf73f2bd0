use std::net::SocketAddr;

use lagoon_core::unit::Millis;

use crate::id::Epoch;

/// Renew the lease of what runs on an executor, acknowledge its ends, and list both.
#[derive(Debug, Clone)]
pub struct HoldRequest {
    /// Where the executor takes orders.
    pub address: SocketAddr,
    /// Epoch of the owner; the executor refuses earlier ones from then on.
    pub epoch: Epoch,
    /// Last end that is acknowledged.
    pub acknowledged: u64,
    /// End of the lease on the executor's clock in milliseconds; none if its clock is not known yet.
    pub lease_end_ms: Option<u64>,
    /// Time to wait for an end.
    pub wait: Millis,
}
