/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value was written at this version.
    Written(u64),
    /// The precondition failed and nothing was written.
    Conflict {
        /// Current version of the key; `None` if it doesn't exist.
        current: Option<u64>,
    },
}
