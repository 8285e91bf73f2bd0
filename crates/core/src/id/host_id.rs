name_type!(
    /// Name of a host.
    HostId,
    "host"
);
