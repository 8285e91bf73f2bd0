use serde::{Deserialize, Serialize};

use crate::id::ShardId;
use crate::ticket::EpochSnapshot;
use crate::unit::Timestamp;

/// A ticket table as handed to a successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketSnapshot {
    /// Home shard of all tickets.
    pub shard: ShardId,
    /// Latest time that the table was given before the export.
    pub taken_at: Timestamp,
    /// Tickets by epoch, ascending.
    pub epochs: Vec<EpochSnapshot>,
}
