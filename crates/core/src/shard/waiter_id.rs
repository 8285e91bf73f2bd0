counter_type!(
    /// Number of a caller's connection that waits for a reply.
    WaiterId,
    u64,
    "waiter"
);
