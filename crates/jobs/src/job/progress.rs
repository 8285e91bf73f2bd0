use serde::{Deserialize, Serialize};

use crate::job::{JobState, StepProgress};

/// Stored progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Final state, once it is known. The steps are omitted then.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<JobState>,
    /// Steps with tasks that are done, with attempts that failed or saved progress, or with known locations of runs.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
}
