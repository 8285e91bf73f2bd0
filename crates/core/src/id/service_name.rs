name_type!(
    /// Name of a service whose executors answer requests.
    ServiceName,
    "service"
);
