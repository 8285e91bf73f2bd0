use serde::{Deserialize, Serialize};

use crate::id::ShardId;
use crate::ticket::EpochSnapshot;
use crate::unit::Timestamp;

/// Ticket table, as handed over to the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketSnapshot {
    /// Shard that issued the tickets.
    pub shard: ShardId,
    /// Latest time passed to the table before the export.
    pub taken_at: Timestamp,
    /// Tickets by epoch, in ascending order.
    pub epochs: Vec<EpochSnapshot>,
}
