counter_type!(
    /// Position in a sequence of one owner: work, tickets or journal segments.
    Sequence,
    u64,
    "sequence"
);
