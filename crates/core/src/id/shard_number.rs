counter_type!(
    /// Number of a shard within its failure domain.
    ShardNumber,
    u16,
    "shard number"
);
