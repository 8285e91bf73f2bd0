use lagoon_core::counter_type;

counter_type!(
    /// One incarnation of an executor, from the start of its process to its end: start time in milliseconds since the
    /// Unix epoch.
    ///
    /// An executor that restarts under the same id keeps no state of its earlier incarnation.
    Incarnation,
    u64,
    "incarnation"
);
