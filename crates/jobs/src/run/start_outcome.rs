use crate::run::StartRefusal;

/// What became of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task runs.
    Started {
        /// The executor's clock in milliseconds, if the answer tells it.
        executor_ms: Option<u64>,
    },
    /// It was refused and won't run.
    Refused(StartRefusal),
    /// The order never left, so it won't run.
    NotSent,
    /// The owner may not start tasks any more, so the order was not sent.
    Withheld,
    /// No answer came; it may run now or later.
    Unknown,
}
