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
    /// Time after which tasks stop by themselves if the owner of their shard is not heard of.
    pub task_ttl: Millis,
    /// Longest wait for the record of an acceptance before it is withdrawn.
    pub record_timeout: Millis,
    /// Bounds of the ticket table.
    pub tickets: TicketLimits,
    /// Bounds of the journal.
    pub journal: JournalLimits,
}
