use lagoon_core::unit::Timestamp;

/// Phase of a run's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The start was requested and not answered yet.
    Starting,
    /// The start was not answered in time, so that it may still take effect until a stop is answered.
    Unconfirmed {
        /// When the start request timed out.
        since: Timestamp,
    },
    /// The executor confirmed the run.
    Running {
        /// When the confirmation arrived.
        since: Timestamp,
    },
    /// A stop was requested, and the end is not listed yet.
    Stopping {
        /// When the stop was answered. A run that is not listed afterwards never started and never will.
        confirmed: Option<Timestamp>,
    },
}
