counter_type!(
    /// Version of the policy document; only grows.
    PolicyVersion,
    u64,
    "policy version"
);
