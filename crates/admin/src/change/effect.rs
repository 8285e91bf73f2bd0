use lagoon_core::policy::Policy;

use crate::change::{ShardChange, StoredPolicy};

/// How a command is carried out.
#[derive(Debug)]
pub(super) enum Effect {
    /// Everything is already as the command wants it.
    Nothing,
    /// The policy is replaced.
    Policy {
        base: Box<StoredPolicy>,
        next: Box<Policy>,
    },
    /// The owners of shards carry it out.
    Shards(Vec<ShardChange>),
}
