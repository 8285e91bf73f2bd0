use crate::code::Refusal;
use crate::shard::WorkView;
use crate::work::Outcome;

/// A reply to a waiting caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The acceptance of the work is recorded.
    Accepted {
        /// Current state of the work.
        view: Box<WorkView>,
        /// True if an earlier request with the same key was accepted.
        repeated: bool,
    },
    /// The work has ended.
    Ended {
        /// Outcome of the work.
        outcome: Outcome,
        /// True if the outcome is kept from an earlier attempt.
        repeated: bool,
    },
    /// The request is refused.
    Refused(Refusal),
}
