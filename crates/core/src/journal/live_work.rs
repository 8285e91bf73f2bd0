use std::sync::Arc;

use crate::id::{FailureDomain, RequestKey};
use crate::unit::Timestamp;
use crate::work::WorkSpec;

/// Accepted work that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveWork {
    /// Idempotency key of the request.
    pub key: Option<RequestKey>,
    /// Fingerprint of the request, to detect another request with the same key.
    pub fingerprint: u64,
    /// Specification of the work.
    pub spec: Arc<WorkSpec>,
    /// When the work was accepted.
    pub accepted_at: Timestamp,
    /// Whether an operator holds the work back.
    pub held: bool,
    /// Whether an earlier attempt may have run. The work can no longer be refused as not run.
    pub may_have_run: bool,
    /// Failure domain that the work was delegated to.
    pub delegated_to: Option<FailureDomain>,
}
