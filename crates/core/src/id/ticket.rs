numbered_type!(
    /// Ticket for one request that runs at most once, written `t:domain:shard:epoch:sequence`.
    Ticket,
    "t",
    "ticket"
);
