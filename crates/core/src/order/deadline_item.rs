use std::cmp::Reverse;

use crate::unit::Timestamp;

/// Item of the heap of start deadlines; the earliest deadline is the greatest item.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeadlineItem {
    pub(super) deadline: Reverse<Timestamp>,
    pub(super) slot: u32,
    pub(super) arrival: u64,
}
