use lagoon_core::unit::Timestamp;

use crate::fleet::ExecutorSlot;
use crate::id::{AdviceTicket, Incarnation};

/// The adviser's approval to run a step on an executor.
#[derive(Debug, Clone)]
pub struct Approval {
    /// The executor.
    pub slot: ExecutorSlot,
    /// Incarnation of the executor that the ticket is for.
    pub incarnation: Option<Incarnation>,
    /// Ticket that a request to start has to carry.
    pub ticket: AdviceTicket,
    /// When the ticket expires.
    pub valid_until: Timestamp,
}
