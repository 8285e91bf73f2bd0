use std::sync::Arc;

use crate::work::WorkSpec;

/// The capacity that a gang job needs at other shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BorrowPlan {
    /// Specification of the job.
    pub spec: Arc<WorkSpec>,
    /// Number of tasks that do not fit on the shard's own workers.
    pub missing: u32,
}
