use crate::code::Refusal;
use crate::id::{Epoch, ProcessId};
use crate::journal::Position;

/// Event that follows for the owner from an answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalEvent {
    /// All entries up to and including a position are durable.
    Committed {
        /// Position of the last durable entry.
        up_to: Position,
    },
    /// This owner still owned the shard after the ownership checks up to a number were requested.
    OwnershipConfirmed {
        /// Number of the last confirmed check.
        up_to: u64,
    },
    /// The journal has accumulated enough segments for a snapshot. Call `begin_snapshot`.
    SnapshotNeeded,
    /// Another process owns the shard now. Nothing more will be committed.
    OwnershipLost {
        /// New owner.
        owner: ProcessId,
        /// Epoch of the new owner.
        epoch: Epoch,
    },
    /// The head is missing, or has a value that no owner can have written. The shard must stop.
    HeadInvalid(Refusal),
}
