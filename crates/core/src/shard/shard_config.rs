use crate::id::{ProcessId, ShardId};
use crate::journal::JournalLimits;
use crate::ticket::TicketLimits;
use crate::unit::Millis;

/// Configuration of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardConfig {
    /// Shard id.
    pub shard: ShardId,
    /// Process that owns the shard.
    pub process: ProcessId,
    /// Safety margin by which a lease is considered expired early.
    pub lease_margin: Millis,
    /// Time after which tasks stop if the owner of their shard does not renew them.
    pub task_ttl: Millis,
    /// Time after which an acceptance that is not recorded is withdrawn.
    pub record_timeout: Millis,
    /// Limits of the ticket table.
    pub tickets: TicketLimits,
    /// Limits of the journal.
    pub journal: JournalLimits,
}
