use serde::{Deserialize, Serialize};

use crate::id::{RequestKey, TeamId};
use crate::unit::Timestamp;
use crate::work::Outcome;

/// What is kept about work that ended, so that a repeat gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWork {
    /// Team that was charged.
    pub team: TeamId,
    /// Key under which the caller may repeat the request.
    pub key: Option<RequestKey>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub at: Timestamp,
}
