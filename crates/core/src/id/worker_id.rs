name_type!(
    /// Name of a worker, which runs tasks.
    WorkerId,
    "worker"
);
