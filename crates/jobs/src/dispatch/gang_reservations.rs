use std::collections::HashMap;

use lagoon_core::unit::Resources;
use smallvec::SmallVec;

use crate::fleet::ExecutorSlot;
use crate::id::StepKey;

/// Capacity reserved for gangs that can't start yet.
#[derive(Debug, Clone, Default)]
pub(super) struct GangReservations {
    by_gang: HashMap<StepKey, SmallVec<[ExecutorSlot; 8]>>,
    by_executor: HashMap<ExecutorSlot, Resources>,
}

impl GangReservations {
    pub(super) fn add(&mut self, gang: StepKey, slot: ExecutorSlot, total: &Resources) {
        self.by_gang.entry(gang).or_default().push(slot);
        let sum = self.by_executor.entry(slot).or_default();
        *sum = sum.saturating_add(*total);
    }

    /// Returns the executors on which a gang has reserved capacity.
    pub(super) fn of_gang(&self, gang: StepKey) -> &[ExecutorSlot] {
        self.by_gang.get(&gang).map_or(&[], |slots| &slots[..])
    }

    /// Returns the resources of an executor that gangs have reserved.
    pub(super) fn on(&self, slot: ExecutorSlot) -> Option<&Resources> {
        self.by_executor.get(&slot)
    }
}
