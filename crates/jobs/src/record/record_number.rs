use lagoon_core::counter_type;

counter_type!(
    /// Number of a change to be recorded. It increases with each change under one owner.
    RecordNumber,
    u64,
    "record number"
);
