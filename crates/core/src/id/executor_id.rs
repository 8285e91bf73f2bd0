name_type!(
    /// Name of an executor, a backend server that runs requests in a fixed number of slots.
    ExecutorId,
    "executor"
);
