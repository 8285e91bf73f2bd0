name_type!(
    /// Name of the rack that a worker is in.
    RackId,
    "rack"
);
