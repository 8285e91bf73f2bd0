use crate::id::WorkId;
use crate::journal::StoreVersion;
use crate::ticket::TicketSnapshot;

/// What an owner gives its successor besides the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOverSnapshot {
    /// Version of the head that the successor replaces. With any other head the snapshot is outdated.
    pub head: StoreVersion,
    /// Ticket table.
    pub tickets: TicketSnapshot,
    /// Recorded work that was certainly not started.
    pub unsent: Vec<WorkId>,
}
