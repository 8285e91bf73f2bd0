use serde::{Deserialize, Serialize};

use crate::unit::Timestamp;
use crate::work::Outcome;

/// State of one ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// Issued and not used yet.
    Unused,
    /// Its request was admitted and has not ended.
    InFlight {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Its request ended and the answer is retained.
    Done {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// The answer.
        outcome: Box<Outcome>,
        /// When the request ended.
        at: Timestamp,
    },
    /// Confirmed, expired or dropped. Its request is never run again.
    Gone,
}
