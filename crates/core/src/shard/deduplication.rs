use crate::id::{RequestKey, Ticket};

/// How a retry of the same work is recognised, so that the work does not run twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Deduplication {
    /// By ticket: the owner's ticket table keeps the outcome.
    Ticket(Ticket),
    /// By key: the journal records the acceptance and the outcome.
    Journal(RequestKey),
    /// None: the work runs at most once, and its outcome can't be queried again.
    Once,
}
