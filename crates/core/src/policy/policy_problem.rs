use std::fmt;

use serde::{Deserialize, Serialize};

/// An invalid value in the policy document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyProblem {
    /// Path of the field, such as `kinds.batch.ceiling_percent`.
    pub key: String,
    /// Value in the document.
    pub found: String,
    /// Description of valid values.
    pub expected: String,
}

impl fmt::Display for PolicyProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, expected {}",
            self.key, self.found, self.expected
        )
    }
}
