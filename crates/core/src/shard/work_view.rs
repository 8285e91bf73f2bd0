use std::sync::Arc;

use smallvec::SmallVec;

use crate::id::{WorkId, WorkerId};
use crate::unit::Timestamp;
use crate::work::{WorkSpec, WorkState};

/// A piece of work as shown to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkView {
    /// Id.
    pub work: WorkId,
    /// Specification.
    pub spec: Arc<WorkSpec>,
    /// State.
    pub state: WorkState,
    /// Why it is in this state.
    pub reason: String,
    /// Workers that hold its tasks.
    pub workers: SmallVec<[WorkerId; 2]>,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// When its start was known.
    pub started_at: Option<Timestamp>,
}
