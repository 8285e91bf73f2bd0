use serde::{Deserialize, Serialize};

use crate::journal::JournalEntry;

/// Value of a segment, or of one part of a snapshot. Immutable once written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Entries in the order in which they apply.
    pub entries: Vec<JournalEntry>,
}
