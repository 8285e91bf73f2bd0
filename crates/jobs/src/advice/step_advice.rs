use std::collections::BTreeSet;

use lagoon_core::unit::{Resources, Timestamp};
use smallvec::SmallVec;

use crate::advice::Approval;
use crate::fleet::ExecutorSlot;

/// Advice about the executors on which one step may run.
#[derive(Debug, Clone, Default)]
pub struct StepAdvice {
    /// Executors that may run it.
    pub approvals: SmallVec<[Approval; 8]>,
    /// Executors that may not.
    pub rejected: BTreeSet<ExecutorSlot>,
    /// Whether a request has been sent and not answered.
    pub in_flight: bool,
    /// Since when a request has been deferred because it would start too few tasks.
    pub deferred_since: Option<Timestamp>,
    /// Resources tentatively reserved, by the executors that the request in flight names.
    pub tentative: Vec<(ExecutorSlot, Resources)>,
    /// When the last response arrived.
    pub answered_at: Timestamp,
    /// Earliest time of the next request, set after a failed one and after a search that found no executor.
    pub retry_at: Timestamp,
}

impl StepAdvice {
    /// Returns true if the adviser has approved or rejected an executor.
    pub fn is_evaluated(&self, slot: ExecutorSlot) -> bool {
        self.rejected.contains(&slot) || self.approvals.iter().any(|approval| approval.slot == slot)
    }

    /// Adds an approval, replacing an older one for the same executor.
    pub fn approve(&mut self, approval: Approval) {
        self.approvals.retain(|known| known.slot != approval.slot);
        self.approvals.push(approval);
    }
}
