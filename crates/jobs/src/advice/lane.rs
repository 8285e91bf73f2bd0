use crate::id::MemberId;

/// Questions that one lane may have open at a time, so that a short one waits behind at most one other.
const MAX_PENDING: u32 = 2;

/// A member of the cell as a way to ask the adviser.
#[derive(Debug, Clone)]
pub struct Lane {
    /// The member that asks.
    pub member: MemberId,
    /// Questions that it has not answered.
    pub pending: u32,
    /// Those of them that take long.
    pub slow: u32,
}

impl Lane {
    /// Tells whether another question may be asked; a slow one only if nothing is open.
    pub(super) fn is_free(&self, slow: bool) -> bool {
        match slow {
            true => self.pending == 0,
            false => self.pending < MAX_PENDING,
        }
    }
}
