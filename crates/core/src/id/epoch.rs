counter_type!(
    /// Fencing number of one ownership term of a shard or one term of a worker lease. Increases monotonically.
    Epoch,
    u64,
    "epoch"
);
