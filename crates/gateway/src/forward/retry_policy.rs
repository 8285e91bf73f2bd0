/// Whether a call whose response was lost may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// Yes: the owner detects the duplicate, or the call changes nothing.
    Idempotent,
    /// No: a second call might run the work a second time.
    AtMostOnce,
}
