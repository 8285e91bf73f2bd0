use lagoon_core::unit::Millis;

use crate::id::{AdviceTicket, ExecutorId};

/// A response of the adviser.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceResponse {
    /// Executors that may run the step, each with its ticket.
    pub good: Vec<(ExecutorId, AdviceTicket)>,
    /// Time for which the tickets are valid.
    pub valid: Millis,
}
