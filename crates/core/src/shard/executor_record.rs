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
    pub(super) own: u32,
    /// Slots that an earlier holder may still use.
    pub(super) foreign: u32,
    /// True while requests may be sent.
    pub(super) open: bool,
    /// Not used before this time, after it could not be reached.
    pub(super) rested_until: Timestamp,
}

impl ExecutorRecord {
    pub(super) fn free(&self) -> u32 {
        self.slots.saturating_sub(self.own + self.foreign)
    }
}
