counter_type!(
    /// Position of a task within its piece of work.
    MemberIndex,
    u32,
    "member index"
);
