name_type!(
    /// Unique name of one running instance of a lagoonspindle process.
    ProcessId,
    "process"
);
