/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// Its work is complete.
    Done,
    /// It failed, by its own fault or that of its executor.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not arrive in time.
    GangIncomplete,
}
