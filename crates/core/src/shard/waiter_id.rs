counter_type!(
    /// Id of a caller that waits for a reply.
    WaiterId,
    u64,
    "waiter"
);
