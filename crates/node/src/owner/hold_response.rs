use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::run::HoldOutcome;

/// What an executor answered to the first hold of a new owner.
#[derive(Debug)]
pub(super) struct HoldResponse {
    pub(super) slot: ExecutorSlot,
    /// Where it was asked.
    pub(super) address: SocketAddr,
    pub(super) outcome: HoldOutcome,
    /// When it was asked.
    pub(super) sent_at: Timestamp,
}
