use crate::code::Refusal;
use crate::shard::WaiterId;
use crate::unit::Timestamp;

/// Refusal of work with a key that waits for a check of the ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UnconfirmedRefusal {
    /// Number of the check.
    pub(super) check: u64,
    pub(super) waiter: WaiterId,
    pub(super) refusal: Refusal,
    pub(super) at: Timestamp,
}
