use crate::order::QueueEntry;

/// An entry with its state in the queue.
#[derive(Debug)]
pub(super) struct QueueSlot {
    pub(super) entry: QueueEntry,
    pub(super) team: u32,
    /// Unique number of the entry in order of arrival.
    pub(super) arrival: u64,
    /// Changes when the entry enters or leaves a heap or list; items with another generation are stale.
    pub(super) generation: u64,
    pub(super) state: EntryState,
}

/// State of a waiting entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EntryState {
    /// In the heap of its team.
    Ready,
    /// Could not be placed and waits for capacity.
    Deferred,
    /// Held by an operator.
    Held,
    /// Past its start deadline and not taken yet.
    Expired,
}
