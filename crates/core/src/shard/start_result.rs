use crate::shard::TaskPhase;

/// Result of a request to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartResult {
    /// The worker started it, or knew it already in this state.
    Known(TaskPhase),
    /// The request was certainly not handled.
    NotSent,
    /// The worker has no room for it.
    DoesNotFit,
    /// The worker could not start it.
    StartFailed,
    /// The worker refused the lease epoch.
    LeaseLost,
    /// The worker has seen a later owner of the shard.
    ShardSuperseded,
    /// The answer was lost.
    Unknown,
}
