name_type!(
    /// Name of a caller or operator, determined by its access token.
    CallerId,
    "caller"
);
