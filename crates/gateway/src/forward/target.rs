use lagoon_core::id::ShardId;

/// Where a call goes.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// The owner of this shard.
    Shard(ShardId),
    /// Any shard of the own failure domain that is being served.
    AnyServing,
}
