use crate::id::MemberId;

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
