use crate::work::Outcome;

/// What becomes of work once nothing of it runs any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AfterStop {
    /// It waits for another start, unless it runs at most once and may have run.
    Requeue,
    /// It ends.
    End(Outcome),
}
