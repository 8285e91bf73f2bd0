use std::sync::Arc;

use smallvec::SmallVec;

use crate::id::{WorkId, WorkerId};
use crate::unit::Timestamp;
use crate::work::{WorkSpec, WorkState};

/// A piece of work as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkView {
    /// Id of the work.
    pub work: WorkId,
    /// Specification of the work.
    pub spec: Arc<WorkSpec>,
    /// State of the work.
    pub state: WorkState,
    /// Why it is in this state.
    pub reason: String,
    /// Workers that its tasks are placed on.
    pub workers: SmallVec<[WorkerId; 2]>,
    /// Time of the acceptance.
    pub accepted_at: Timestamp,
    /// Time when its start was reported.
    pub started_at: Option<Timestamp>,
}
