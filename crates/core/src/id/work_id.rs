numbered_type!(
    /// Id of submitted work, written `w:domain:shard:epoch:sequence`.
    WorkId,
    "w",
    "work"
);
