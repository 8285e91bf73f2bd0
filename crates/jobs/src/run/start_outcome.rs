use crate::run::StartRefusal;

/// What became of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task runs.
    Started,
    /// It was refused and won't run.
    Refused(StartRefusal),
    /// The order never left, so it won't run.
    NotSent,
    /// No answer came; it may run now or later.
    Unknown,
}
