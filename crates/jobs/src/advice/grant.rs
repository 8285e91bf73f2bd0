use lagoon_core::unit::Timestamp;

use crate::fleet::ExecutorSlot;
use crate::id::{AdviceTicket, Incarnation};

/// Consent to run a step on an executor.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The executor.
    pub slot: ExecutorSlot,
    /// Life of the executor that the ticket is for.
    pub incarnation: Option<Incarnation>,
    /// Ticket that a start has to carry.
    pub ticket: AdviceTicket,
    /// When the ticket ceases to be valid.
    pub valid_until: Timestamp,
}
