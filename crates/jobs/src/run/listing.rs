use crate::id::Incarnation;
use crate::run::{ActiveRun, EndedRun};

/// What an executor runs and which ends it still lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The life that lists.
    pub incarnation: Option<Incarnation>,
    /// The executor's clock in milliseconds.
    pub executor_ms: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// Ends that were not acknowledged, oldest first.
    pub ended: Vec<EndedRun>,
    /// All such ends are listed, and none is left for a later answer.
    pub complete: bool,
}
