use crate::id::{ProcessId, ShardId};
use crate::journal::JournalLimits;
use crate::ticket::TicketLimits;
use crate::unit::Millis;

/// What a shard is told by its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardConfig {
    /// Shard.
    pub shard: ShardId,
    /// Owner.
    pub process: ProcessId,
    /// Time by which a lease counts as ended before it ends.
    pub lease_margin: Millis,
    /// Longest wait for the record of an acceptance before it is withdrawn.
    pub record_timeout: Millis,
    /// Bounds of the ticket table.
    pub tickets: TicketLimits,
    /// Bounds of the journal.
    pub journal: JournalLimits,
}
