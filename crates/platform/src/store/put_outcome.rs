/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The value is written and has this version.
    Written(u64),
    /// The expectation was not met and nothing is written.
    Conflict {
        /// Version that the key has; `None` if it doesn't exist.
        current: Option<u64>,
    },
}
