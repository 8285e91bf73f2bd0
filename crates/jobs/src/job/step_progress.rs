use serde::{Deserialize, Serialize};

use crate::job::{AttemptProgress, LocationProgress};

/// Stored progress of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Number of the occurrence.
    #[serde(rename = "k")]
    pub occurrence: u32,
    /// Number of the step.
    #[serde(rename = "s")]
    pub step: u16,
    /// Tasks that are done, as ranges of first and last index.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Attempts that failed or saved progress.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub attempts: Vec<AttemptProgress>,
    /// Where long-running tasks run.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub locations: Vec<LocationProgress>,
}
