counter_type!(
    /// Position of an entry among the entries that one owner appended, starting at 1.
    Position,
    u64,
    "journal position"
);
