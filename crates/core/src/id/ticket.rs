numbered_type!(
    /// Ticket that allows one request to run at most once, written `t:domain:shard:epoch:sequence`.
    Ticket,
    "t",
    "ticket"
);
