counter_type!(
    /// Number of entries appended by one owner up to and including an entry.
    Position,
    u64,
    "journal position"
);
