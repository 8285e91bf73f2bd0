use serde::{Deserialize, Serialize};

use crate::job::{JobState, StepProgress};

/// What the store holds of how far a job has come.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Final state, once it is known; the steps are left out then.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<JobState>,
    /// Steps of which something ended.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<StepProgress>,
}
