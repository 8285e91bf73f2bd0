use lagoon_core::name_type;

name_type!(
    /// Name of a queue to which callers submit jobs.
    QueueName,
    "queue"
);
