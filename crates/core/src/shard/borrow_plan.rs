use std::sync::Arc;

use crate::work::WorkSpec;

/// What a gang job needs from other shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BorrowPlan {
    /// Specification of the job.
    pub spec: Arc<WorkSpec>,
    /// Members that do not fit on the shard's own workers.
    pub missing: u32,
}
