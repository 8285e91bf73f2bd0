use std::collections::HashMap;

use lagoon_core::unit::Resources;
use smallvec::SmallVec;

use crate::fleet::ExecutorSlot;
use crate::id::StepKey;

/// Room that gangs keep for themselves until all of it is free.
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

    /// Returns the executors on which a gang has room.
    pub(super) fn of_gang(&self, gang: StepKey) -> &[ExecutorSlot] {
        self.by_gang.get(&gang).map_or(&[], |slots| &slots[..])
    }

    /// Returns what gangs have claimed on an executor.
    pub(super) fn on(&self, slot: ExecutorSlot) -> Option<&Resources> {
        self.by_executor.get(&slot)
    }
}
