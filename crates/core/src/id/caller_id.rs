name_type!(
    /// Name of a caller or operator, as bound to its token.
    CallerId,
    "caller"
);
