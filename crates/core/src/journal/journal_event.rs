use crate::code::Refusal;
use crate::id::{Epoch, ProcessId};
use crate::journal::Position;

/// What an answer of the store means for the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalEvent {
    /// All entries up to a position are durable.
    Committed {
        /// Position of the last durable entry.
        up_to: Position,
    },
    /// This owner still owned the shard after these checks were requested.
    OwnershipConfirmed {
        /// Number of the last check.
        up_to: u64,
    },
    /// Many segments have gathered; call `begin_snapshot` when convenient.
    SnapshotNeeded,
    /// Another process owns the shard now; nothing more will be committed.
    OwnershipLost {
        /// New owner.
        owner: ProcessId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// The head is missing or holds what nobody may have written; the shard must stop.
    HeadInvalid(Refusal),
}
