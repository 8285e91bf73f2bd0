use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::run::HoldOutcome;

/// Response of an executor to the first hold of a new owner.
#[derive(Debug)]
pub(super) struct HoldResponse {
    pub(super) slot: ExecutorSlot,
    /// Address that the request was sent to.
    pub(super) address: SocketAddr,
    pub(super) outcome: HoldOutcome,
    /// When the request was sent.
    pub(super) sent_at: Timestamp,
}
