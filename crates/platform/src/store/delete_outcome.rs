/// Result of a conditional deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The key is gone since this version.
    Deleted(u64),
    /// There was no such key.
    Absent,
    /// The key has another version.
    Conflict {
        /// Version that the key has.
        current: u64,
    },
}
