counter_type!(
    /// Position of a task within its piece of work.
    TaskIndex,
    u32,
    "task index"
);
