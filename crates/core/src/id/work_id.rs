numbered_type!(
    /// Id of a piece of work, written `w:domain:shard:epoch:sequence`.
    WorkId,
    "w",
    "work"
);
