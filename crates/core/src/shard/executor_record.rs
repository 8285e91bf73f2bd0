use crate::id::{ExecutorId, ServiceName, WorkerId};
use crate::unit::Timestamp;

/// Slot usage of an executor as counted by its lease holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ExecutorRecord {
    pub(super) executor: ExecutorId,
    pub(super) service: ServiceName,
    pub(super) worker: WorkerId,
    pub(super) slots: u32,
    /// Slots taken by requests of this lease holder.
    pub(super) own_in_use: u32,
    /// Slots that requests of an earlier lease holder may still use.
    pub(super) inherited_in_use: u32,
    /// True while requests may be sent.
    pub(super) open: bool,
    /// End of the backoff after the executor was unreachable.
    pub(super) unavailable_until: Timestamp,
}

impl ExecutorRecord {
    pub(super) fn free(&self) -> u32 {
        self.slots
            .saturating_sub(self.own_in_use + self.inherited_in_use)
    }
}
