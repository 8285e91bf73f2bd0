name_type!(
    /// Name of one run of one of the system's processes.
    ProcessId,
    "process"
);
