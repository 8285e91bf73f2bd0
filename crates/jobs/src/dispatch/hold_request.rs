use std::net::SocketAddr;

use lagoon_core::unit::Millis;

use crate::id::Epoch;

/// A request to an executor to renew the lease of its runs, acknowledge its ends, and list both.
#[derive(Debug, Clone)]
pub struct HoldRequest {
    /// Address of the executor.
    pub address: SocketAddr,
    /// Epoch of the owner; the executor refuses earlier ones from then on.
    pub epoch: Epoch,
    /// Sequence number of the last end that is acknowledged.
    pub acknowledged: u64,
    /// Expiry of the lease on the executor's clock in milliseconds; `None` if no lease is granted.
    pub lease_end_ms: Option<u64>,
    /// Longest time for which the executor waits for an end before it answers.
    pub wait: Millis,
}
