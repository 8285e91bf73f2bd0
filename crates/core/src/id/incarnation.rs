counter_type!(
    /// Incarnation of a worker: the time from one start of its process to its end. Increases with each restart.
    Incarnation,
    u64,
    "incarnation"
);
