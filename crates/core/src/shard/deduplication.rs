use crate::id::{RequestKey, Ticket};

/// How a piece of work is kept from running twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Deduplication {
    /// The owner's ticket table remembers the outcome.
    Ticket(Ticket),
    /// The journal records acceptance and outcome.
    Journal(RequestKey),
    /// Neither; the work runs at most once and can't be asked about again.
    Once,
}
