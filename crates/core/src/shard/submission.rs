use crate::shard::Deduplication;
use crate::work::WorkSpec;

/// A piece of work submitted to its home shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// How retries are recognised.
    pub deduplication: Deduplication,
    /// Specification of the work.
    pub spec: WorkSpec,
    /// Hash of the submitted content, to tell a retry from another request with the same ticket or key.
    pub fingerprint: u64,
    /// True if the caller waits for the end of the work, false if it waits only for the acceptance.
    pub wait_for_end: bool,
}
