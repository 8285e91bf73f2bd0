use serde::Serialize;

/// Why tasks of a step wait, the first reason that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// The configuration has no such queue.
    QueueIsGone,
    /// Steps before it are not done.
    EarlierSteps,
    /// An earlier owner may have started tasks on an executor that has not listed its runs yet.
    UnheardExecutors,
    /// Members of an earlier run of the gang have not ended.
    EarlierRun,
    /// A question to the adviser is not answered.
    Adviser,
    /// No question was asked: no member is free, or it would start too few tasks now.
    MemberToAsk,
    /// Executors that may run it have no room, or not at the same time, or their tickets have ended.
    Room,
}
