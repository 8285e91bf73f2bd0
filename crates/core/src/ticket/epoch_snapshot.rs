use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Sequence};
use crate::ticket::TicketState;
use crate::unit::Timestamp;

/// The tickets of one epoch as handed to a successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochSnapshot {
    /// Epoch that issued the tickets.
    pub epoch: Epoch,
    /// Number of the first ticket in `slots`.
    pub first: Sequence,
    /// Tickets in the order of their numbers.
    pub slots: VecDeque<TicketState>,
    /// Tickets below `first` that are still in flight or answered.
    pub older: Vec<(Sequence, TicketState)>,
    /// Issue times, each with the number after the last ticket issued then.
    pub issued: VecDeque<(Timestamp, Sequence)>,
}
