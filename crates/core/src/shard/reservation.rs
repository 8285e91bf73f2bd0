use smallvec::SmallVec;

use crate::id::{TaskId, WorkerId};
use crate::shard::Borrower;
use crate::unit::{Resources, Timestamp};

/// Capacity that a lender keeps for a borrower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) borrower: Borrower,
    /// What each member takes.
    pub(super) need: Resources,
    /// Worker of each member.
    pub(super) workers: SmallVec<[WorkerId; 8]>,
    /// Until then it is kept if it is not committed; a committed one is remembered as long.
    pub(super) expires: Timestamp,
    /// Tasks of a committed reservation. Their capacity counts as that of tasks from then on.
    pub(super) tasks: Option<Vec<TaskId>>,
}
