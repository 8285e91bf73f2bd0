name_type!(
    /// Idempotency key that a caller chooses for a piece of work.
    RequestKey,
    "idempotency key"
);
