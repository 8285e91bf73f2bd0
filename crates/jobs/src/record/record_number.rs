use lagoon_core::counter_type;

counter_type!(
    /// Number of a change to be recorded; rises within one owner.
    RecordNumber,
    u64,
    "record number"
);
