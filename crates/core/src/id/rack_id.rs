name_type!(
    /// Name of a rack of workers.
    RackId,
    "rack"
);
