use crate::id::{Epoch, ProcessId, ShardId};
use crate::shard::{ExecutorView, ShardPhase, WorkerView};

/// Shard state for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardView {
    /// Shard id.
    pub shard: ShardId,
    /// Phase of the ownership.
    pub phase: ShardPhase,
    /// Owning process.
    pub owner: ProcessId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Number of waiting or held pieces of work.
    pub queued: u64,
    /// Number of starting or running pieces of work.
    pub running: u64,
    /// Number of pieces of work that an unreachable host may have started.
    pub unresolved: u64,
    /// Number of outstanding tickets.
    pub tickets: u64,
    /// Number of journal entries that the store has not confirmed.
    pub unrecorded: u64,
    /// Known workers.
    pub workers: Vec<WorkerView>,
    /// Executors on the known workers.
    pub executors: Vec<ExecutorView>,
}
