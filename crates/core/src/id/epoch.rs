counter_type!(
    /// Number of an ownership of a shard or of a worker lease; only grows.
    Epoch,
    u64,
    "epoch"
);
