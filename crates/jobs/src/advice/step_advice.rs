use std::collections::BTreeSet;

use lagoon_core::unit::{Resources, Timestamp};
use smallvec::SmallVec;

use crate::advice::Grant;
use crate::fleet::ExecutorSlot;

/// What is known of where one step may run.
#[derive(Debug, Clone, Default)]
pub struct StepAdvice {
    /// Executors that may run it.
    pub grants: SmallVec<[Grant; 8]>,
    /// Executors that may not.
    pub rejected: BTreeSet<ExecutorSlot>,
    /// A question was asked and not answered.
    pub asking: bool,
    /// Since when a question has been put off that would start few tasks.
    pub put_off_since: Option<Timestamp>,
    /// What the open question is expected to use of the executors that it names.
    pub promised: Vec<(ExecutorSlot, Resources)>,
    /// When the last answer arrived.
    pub answered: Timestamp,
    /// No question before this time, after one that failed.
    pub not_before: Timestamp,
}

impl StepAdvice {
    /// Tells whether the adviser has judged an executor.
    pub fn is_judged(&self, slot: ExecutorSlot) -> bool {
        self.rejected.contains(&slot) || self.grants.iter().any(|grant| grant.slot == slot)
    }

    /// Takes over a grant in place of an older one for the same executor.
    pub fn grant(&mut self, grant: Grant) {
        self.grants.retain(|known| known.slot != grant.slot);
        self.grants.push(grant);
    }
}
