counter_type!(
    /// Version of a key in the store. Zero stands for a key that does not exist.
    StoreVersion,
    u64,
    "store version"
);
