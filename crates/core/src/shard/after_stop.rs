use crate::work::Outcome;

/// What happens to work once all of its tasks have stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AfterStop {
    /// The work is queued again, unless it is at-most-once work that may have run.
    Requeue,
    /// The work ends with this outcome.
    End(Outcome),
}
