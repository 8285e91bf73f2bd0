use crate::id::Incarnation;
use crate::run::{ActiveRun, EndedRun};

/// Answer of an executor to a hold: its active runs, and the ended runs that are not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Incarnation of the executor that answered, if it names one.
    pub incarnation: Option<Incarnation>,
    /// The executor's clock in milliseconds.
    pub executor_ms: u64,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Ended runs that were not acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
    /// All such runs are included; none is left for the next answer.
    pub complete: bool,
}
