use lagoon_core::id::ProcessId;
use tokio::time::Instant;

/// The lease of a worker while it is valid.
#[derive(Debug)]
pub(crate) struct HeldLease {
    pub(crate) holder: ProcessId,
    pub(crate) until: Instant,
}
