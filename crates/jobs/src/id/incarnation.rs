use lagoon_core::counter_type;

counter_type!(
    /// Names one life of an executor, from its start to its end: milliseconds since the Unix epoch at its start.
    ///
    /// An executor that starts again under its id knows nothing of its earlier life.
    Incarnation,
    u64,
    "life"
);
