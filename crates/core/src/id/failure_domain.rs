name_type!(
    /// Name of a failure domain.
    FailureDomain,
    "failure domain"
);
