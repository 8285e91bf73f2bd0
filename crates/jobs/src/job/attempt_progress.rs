use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{Checkpoint, RunNumber};

/// Stored part of the attempts of a task or gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptProgress {
    /// Index of the task; 0 for a gang.
    #[serde(rename = "i")]
    pub index: u32,
    /// Numbers of the runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "SmallVec::is_empty")]
    pub failed: SmallVec<[RunNumber; 4]>,
    /// Saved progress.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<Checkpoint>,
}
