use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{RequestKey, TeamId};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkSpec};

/// Record of work that ended, retained so that a repeated request gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWork {
    /// Specification without the payload.
    pub spec: Arc<WorkSpec>,
    /// Idempotency key of the request.
    pub key: Option<RequestKey>,
    /// Fingerprint of the request, to detect another request with the same key.
    pub fingerprint: u64,
    /// When the work was accepted.
    pub accepted_at: Timestamp,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub at: Timestamp,
}

impl EndedWork {
    /// Returns the team that submitted the work.
    pub fn team(&self) -> &TeamId {
        &self.spec.team
    }
}
