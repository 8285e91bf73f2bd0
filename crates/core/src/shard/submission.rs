use crate::shard::Deduplication;
use crate::work::WorkSpec;

/// A piece of work as it reaches its home shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// Route.
    pub deduplication: Deduplication,
    /// Specification.
    pub spec: WorkSpec,
    /// Hash of what the caller sent, to tell a repeat from another request with the same ticket or key.
    pub fingerprint: u64,
    /// True if the caller waits for the end of the work, false if it waits for its acceptance.
    pub wait_for_end: bool,
}
