use crate::id::{Epoch, ProcessId, ShardId};
use crate::shard::{ExecutorView, ShardPhase, WorkerView};

/// A shard as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardView {
    /// Id.
    pub shard: ShardId,
    /// Phase of the ownership.
    pub phase: ShardPhase,
    /// Owner.
    pub owner: ProcessId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Pieces of work that wait.
    pub queued: u64,
    /// Pieces of work that are starting or running.
    pub running: u64,
    /// Pieces of work that a host out of reach may have started.
    pub unresolved: u64,
    /// Tickets that are outstanding.
    pub tickets: u64,
    /// Entries that the store has not confirmed.
    pub unrecorded: u64,
    /// Workers.
    pub workers: Vec<WorkerView>,
    /// Executors.
    pub executors: Vec<ExecutorView>,
}
