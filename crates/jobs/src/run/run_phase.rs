use lagoon_core::unit::Timestamp;

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The order to start was sent and not answered.
    Starting,
    /// No answer came in time, so the order may still take effect until a stop is answered.
    Unconfirmed {
        /// When the answer was given up.
        since: Timestamp,
    },
    /// It runs since the executor confirmed it.
    Running {
        /// When the confirmation arrived.
        since: Timestamp,
    },
    /// It was ordered to stop; its end is not listed yet.
    Stopping {
        /// When the stop was answered. A run that is not listed after that never started and never will.
        confirmed: Option<Timestamp>,
    },
}
