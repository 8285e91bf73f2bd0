use crate::id::{ExecutorId, ServiceName, WorkerId};
use crate::unit::Timestamp;

/// Slots of an executor as its holder counts them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ExecutorRecord {
    pub(super) executor: ExecutorId,
    pub(super) service: ServiceName,
    pub(super) worker: WorkerId,
    pub(super) slots: u32,
    /// Requests of this holder.
    pub(super) own_in_use: u32,
    /// Slots that an earlier holder may still use.
    pub(super) inherited_in_use: u32,
    /// True while requests may be sent.
    pub(super) open: bool,
    /// Not used before this time, after it could not be reached.
    pub(super) unavailable_until: Timestamp,
}

impl ExecutorRecord {
    pub(super) fn free(&self) -> u32 {
        self.slots
            .saturating_sub(self.own_in_use + self.inherited_in_use)
    }
}
