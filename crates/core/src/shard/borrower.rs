use crate::id::{Epoch, ShardId};

/// A shard for which another shard reserves capacity and starts tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Borrower {
    /// Id of the borrowing shard.
    pub shard: ShardId,
    /// Epoch of its owner.
    pub epoch: Epoch,
}
