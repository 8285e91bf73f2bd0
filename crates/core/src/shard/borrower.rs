use crate::id::{Epoch, ShardId};

/// The shard for which another one reserves and starts tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Borrower {
    /// Shard.
    pub shard: ShardId,
    /// Epoch of its owner.
    pub epoch: Epoch,
}
