use std::sync::Arc;

use lagoon_core::work::WorkSpec;

use crate::sim::JobNumber;

/// Waiting or running work of the baseline.
#[derive(Debug)]
pub(crate) struct BaselineJob {
    pub(crate) number: JobNumber,
    pub(crate) spec: Arc<WorkSpec>,
    /// Tasks that have not ended.
    pub(crate) open: u32,
    pub(crate) failed: bool,
}
