use smallvec::SmallVec;

use crate::id::{TaskId, WorkerId};
use crate::shard::Borrower;
use crate::unit::{Resources, Timestamp};

/// Capacity that a lender reserves for a borrower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) borrower: Borrower,
    /// Resources of each task.
    pub(super) need: Resources,
    /// Worker of each task.
    pub(super) workers: SmallVec<[WorkerId; 8]>,
    /// Expiry time. A committed reservation is kept until then so that a repeated commit is recognised.
    pub(super) expires: Timestamp,
    /// Tasks of a committed reservation. From the commit on, their capacity counts as allocated to the tasks.
    pub(super) tasks: Option<Vec<TaskId>>,
}
