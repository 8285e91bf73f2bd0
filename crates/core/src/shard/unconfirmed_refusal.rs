use crate::code::Refusal;
use crate::shard::WaiterId;
use crate::unit::Timestamp;

/// Refusal of keyed work that waits for an ownership check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct UnconfirmedRefusal {
    /// Number of the check.
    pub(super) check: u64,
    pub(super) waiter: WaiterId,
    pub(super) refusal: Refusal,
    pub(super) at: Timestamp,
}
