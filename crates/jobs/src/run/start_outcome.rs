use lagoon_core::unit::Millis;

use crate::run::StartRefusal;

/// Outcome of a request to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task was started.
    Started {
        /// The executor's clock in milliseconds, if the answer contains it.
        executor_ms: Option<u64>,
    },
    /// The executor refused the start, so the task does not run.
    Refused(StartRefusal),
    /// The request could not be sent, so the task does not run.
    NotSent,
    /// The request was not sent, because the owner's lease may have expired.
    Withheld,
    /// No answer arrived. The task may run now or start later.
    Unknown {
        /// Age of the connection on which the request was sent, when it was given up; `None` if that is not known.
        connection_age: Option<Millis>,
    },
}
