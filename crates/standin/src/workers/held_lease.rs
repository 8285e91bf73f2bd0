use lagoon_core::id::ProcessId;
use tokio::time::Instant;

/// An unexpired lease on a worker.
#[derive(Debug)]
pub(crate) struct HeldLease {
    pub(crate) holder: ProcessId,
    pub(crate) expires_at: Instant,
}
