use crate::order::QueueEntry;

/// An entry with its place in the queue.
#[derive(Debug)]
pub(super) struct QueueSlot {
    pub(super) entry: QueueEntry,
    pub(super) team: u32,
    /// Number of the entry in order of arrival; unique.
    pub(super) arrival: u64,
    /// Number of its last insertion into a heap or list; items with another number are stale.
    pub(super) stamp: u64,
    pub(super) place: Place,
}

/// Where an entry waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    /// In the heap of its team.
    Ready,
    /// Set aside until capacity is freed.
    Aside,
    /// Held by an operator.
    Held,
    /// Past its start deadline and not yet reported.
    Expired,
}
