use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{RequestKey, TeamId};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkSpec};

/// What is kept about work that ended, so that a repeat gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWork {
    /// Specification, without its payload.
    pub spec: Arc<WorkSpec>,
    /// Key under which the caller may repeat the request.
    pub key: Option<RequestKey>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// When the work was accepted.
    pub accepted_at: Timestamp,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub at: Timestamp,
}

impl EndedWork {
    /// Returns the team that was charged.
    pub fn team(&self) -> &TeamId {
        &self.spec.team
    }
}
