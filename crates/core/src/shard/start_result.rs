use crate::shard::TaskPhase;

/// Result of a call that starts a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartResult {
    /// The worker started the task or already knew it; the task is in this phase.
    Known(TaskPhase),
    /// The call certainly had no effect.
    NotSent,
    /// The worker has too little free capacity.
    DoesNotFit,
    /// The worker failed to start the task.
    StartFailed,
    /// The worker refused the lease epoch.
    LeaseLost,
    /// The worker has seen a later owner of the shard.
    ShardSuperseded,
    /// The response was lost; the task may have started.
    Unknown,
}
