use crate::journal::{Head, StoreVersion};

/// Response of the store to a request of the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// The write took effect; the key now has this version.
    Written(StoreVersion),
    /// The key had another version than expected.
    Conflict(StoreVersion),
    /// The response was lost; the write may have taken effect.
    Unknown,
    /// The write certainly had no effect.
    Refused,
    /// The requested head.
    Head(Option<Box<(Head, StoreVersion)>>),
}
