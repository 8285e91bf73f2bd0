counter_type!(
    /// Zero-based index of a task within its work.
    TaskIndex,
    u32,
    "task index"
);
