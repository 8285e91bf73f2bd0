use crate::code::Refusal;
use crate::work::Outcome;

/// Decision about a request with a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketDecision {
    /// First use: run the request.
    Run,
    /// The request is running; wait for its answer.
    InFlight,
    /// The request ended with this answer.
    Done(Outcome),
    /// The request must not run.
    Refuse(Refusal),
}
