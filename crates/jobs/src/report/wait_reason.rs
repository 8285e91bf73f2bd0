use serde::Serialize;

/// Why tasks of a step wait. The first reason that applies is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// The queue of the job is not in the configuration, and the record of the job does not contain it.
    QueueIsGone,
    /// Steps that it depends on are not done.
    EarlierSteps,
    /// An earlier owner may have started the tasks on an unreported executor, one that has not listed its runs to this
    /// owner yet.
    UnheardExecutors,
    /// Tasks of an earlier run of the gang have not ended, or the end of a long-running task is not recorded yet.
    EarlierRun,
    /// A request to the adviser is not answered yet.
    Adviser,
    /// The adviser was not asked: no member can send the request now, or too few tasks could start.
    MemberToAsk,
    /// Executors that may run it lack free capacity, or do not have it at the same time, or their tickets have expired.
    Room,
}
