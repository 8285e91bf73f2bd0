use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Sequence};
use crate::ticket::TicketState;
use crate::unit::Timestamp;

/// Tickets of one epoch, as handed over to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochSnapshot {
    /// Epoch that issued the tickets.
    pub epoch: Epoch,
    /// Sequence number of the first ticket in `slots`.
    pub first: Sequence,
    /// State of the tickets in the order of their sequence numbers.
    pub slots: VecDeque<TicketState>,
    /// Tickets below `first` that are unused, in flight or answered.
    pub older: Vec<(Sequence, TicketState)>,
    /// Issue times, each with the sequence number after the last ticket issued at that time.
    pub issued: VecDeque<(Timestamp, Sequence)>,
}
