use std::sync::Arc;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_core::work::WorkSpec;

/// A submitted job and its progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<WorkSpec>,
    pub(crate) flood: bool,
    pub(crate) submitted: Timestamp,
    pub(crate) started: Option<Timestamp>,
    pub(crate) ended: bool,
    /// Time of the refusal because the start deadline had passed.
    pub(crate) expired_at: Option<Timestamp>,
    /// Actual run time of each task.
    pub(crate) run: Millis,
    /// Actual size as a percentage of the declared size; above 100 if the declared size is too small.
    pub(crate) used_percent: u64,
}
