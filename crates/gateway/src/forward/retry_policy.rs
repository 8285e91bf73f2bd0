/// Whether a call whose fate is unknown may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// The owner recognizes the call, or it changes nothing.
    Idempotent,
    /// A second call might run the work a second time.
    AtMostOnce,
}
