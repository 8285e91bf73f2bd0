use crate::code::Refusal;
use crate::work::Outcome;

/// What to do with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketDecision {
    /// First use: run the request.
    Run,
    /// The request is running; wait for the same answer.
    InFlight,
    /// The request ended with this answer.
    Done(Outcome),
    /// Don't run the request.
    Refuse(Refusal),
}
