use crate::placement::ClosedReason;

/// Set of the reasons why a worker receives no new work. A worker with an empty set is open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClosedReasons(u8);

impl ClosedReasons {
    /// Returns true if there is no reason.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns true if `reason` applies.
    pub const fn contains(self, reason: ClosedReason) -> bool {
        self.0 & reason.bit() != 0
    }

    pub(crate) fn insert(&mut self, reason: ClosedReason) {
        self.0 |= reason.bit();
    }

    pub(crate) fn remove(&mut self, reason: ClosedReason) {
        self.0 &= !reason.bit();
    }
}
