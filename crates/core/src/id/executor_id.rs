name_type!(
    /// Name of an executor, a backend server that answers requests in slots.
    ExecutorId,
    "executor"
);
