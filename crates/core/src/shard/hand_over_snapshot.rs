use crate::id::WorkId;
use crate::journal::StoreVersion;
use crate::ticket::TicketSnapshot;

/// State that an owner passes to its successor in addition to the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOverSnapshot {
    /// Version of the head that the successor must replace. With any other head the snapshot is outdated.
    pub head: StoreVersion,
    /// Ticket table.
    pub tickets: TicketSnapshot,
    /// Recorded work that was certainly not started.
    pub unsent: Vec<WorkId>,
}
