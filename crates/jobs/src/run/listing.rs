use crate::id::Life;
use crate::run::{EndedRow, RunningRow};

/// What an executor runs and which ends it still lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The life that lists.
    pub life: Option<Life>,
    /// The executor's clock in milliseconds.
    pub executor_ms: u64,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// Ends that were not acknowledged, oldest first.
    pub ended: Vec<EndedRow>,
    /// All such ends are listed, and none is left for a later answer.
    pub complete: bool,
}
