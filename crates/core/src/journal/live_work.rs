use std::sync::Arc;

use crate::id::{FailureDomain, RequestKey};
use crate::unit::Timestamp;
use crate::work::WorkSpec;

/// Accepted work that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveWork {
    /// Key under which the caller may repeat the request.
    pub key: Option<RequestKey>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Specification.
    pub spec: Arc<WorkSpec>,
    /// When the work was accepted.
    pub accepted_at: Timestamp,
    /// Whether an operator keeps it back.
    pub held: bool,
    /// Whether an earlier start may have run; the work can't be refused as not run any more.
    pub may_have_run: bool,
    /// Failure domain to which it was given.
    pub delegated_to: Option<FailureDomain>,
}
