use crate::dispatch::HoldRequest;

/// What the driver of an executor does next.
#[derive(Debug, Clone)]
pub enum HoldAction {
    /// Hold it.
    Hold(HoldRequest),
    /// Wait until the records of its ends are durable and their jobs are known.
    AwaitRecord,
    /// Wait until something is started there.
    Idle,
}
