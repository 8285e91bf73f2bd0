counter_type!(
    /// Version of the policy document. Increases monotonically.
    PolicyVersion,
    u64,
    "policy version"
);
