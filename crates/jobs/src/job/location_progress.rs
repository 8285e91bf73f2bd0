use serde::{Deserialize, Serialize};

use crate::job::RunLocation;

/// Stored location of a long-running task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationProgress {
    /// Index of the task.
    #[serde(rename = "i")]
    pub index: u32,
    /// Where its only run takes place.
    #[serde(flatten)]
    pub location: RunLocation,
}
