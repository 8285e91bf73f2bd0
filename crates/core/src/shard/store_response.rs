use crate::journal::{Head, StoreVersion};

/// Answer of the store to a write of the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// Written.
    Written(StoreVersion),
    /// The key had another version.
    Conflict(StoreVersion),
    /// The answer was lost; the write may have taken effect.
    Unknown,
    /// The write certainly had no effect.
    Refused,
    /// The head that was asked for.
    Head(Option<Box<(Head, StoreVersion)>>),
}
