use std::sync::Arc;

use lagoon_core::work::WorkSpec;

use crate::sim::JobNumber;

/// A waiting or running job of the baseline.
#[derive(Debug)]
pub(crate) struct BaselineJob {
    pub(crate) number: JobNumber,
    pub(crate) spec: Arc<WorkSpec>,
    /// Number of tasks that have not ended.
    pub(crate) remaining_tasks: u32,
    pub(crate) failed: bool,
}
