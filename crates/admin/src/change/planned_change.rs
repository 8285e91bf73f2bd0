use lagoon_core::policy::Policy;

use crate::change::{ShardChange, StoredPolicy};

/// The change that a command makes.
#[derive(Debug)]
pub(super) enum PlannedChange {
    /// No change; the requested state is already in place.
    Nothing,
    /// Replaces the policy.
    Policy {
        base: Box<StoredPolicy>,
        next: Box<Policy>,
    },
    /// Sends changes to the owners of shards.
    Shards(Vec<ShardChange>),
}
