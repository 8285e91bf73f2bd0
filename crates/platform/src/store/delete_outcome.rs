/// Result of a conditional deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeleteOutcome {
    /// The key was deleted at this version.
    Deleted(u64),
    /// The key did not exist.
    Absent,
    /// The precondition failed and nothing was deleted.
    Conflict {
        /// Current version of the key.
        current: u64,
    },
}
