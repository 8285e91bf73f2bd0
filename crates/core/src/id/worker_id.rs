name_type!(
    /// Name of a worker, the agent that runs tasks on a host.
    WorkerId,
    "worker"
);
