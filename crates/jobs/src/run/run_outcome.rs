/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task completed.
    Done,
    /// It failed, through its own fault or that of its executor.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another task of its gang ended.
    GangBroken,
    /// The other tasks of its gang did not start in time.
    GangIncomplete,
}
