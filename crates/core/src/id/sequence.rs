counter_type!(
    /// Sequence number that an owner assigns to work, tickets or journal segments.
    Sequence,
    u64,
    "sequence"
);
