use crate::code::Refusal;
use crate::shard::WorkView;
use crate::work::Outcome;

/// What a waiting caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The work is recorded.
    Accepted {
        /// Its state.
        view: Box<WorkView>,
        /// True if an earlier request with the same key was accepted.
        repeated: bool,
    },
    /// The work ended.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// True if the outcome was kept from an earlier attempt.
        repeated: bool,
    },
    /// The request is refused.
    Refused(Refusal),
}
