counter_type!(
    /// Number of one run of a worker; a restarted worker has a higher one.
    Incarnation,
    u64,
    "incarnation"
);
