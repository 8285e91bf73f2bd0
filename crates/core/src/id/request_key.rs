name_type!(
    /// Idempotency key that a caller chooses for a request to run work.
    RequestKey,
    "idempotency key"
);
