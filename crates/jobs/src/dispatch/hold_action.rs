use crate::dispatch::HoldRequest;

/// What the driver of an executor does next.
#[derive(Debug, Clone)]
pub enum HoldAction {
    /// Send a hold.
    Hold(HoldRequest),
    /// Wait until the records of the executor's ends are durable and their jobs are known.
    AwaitRecord,
    /// Wait until something is started on the executor.
    Idle,
}
