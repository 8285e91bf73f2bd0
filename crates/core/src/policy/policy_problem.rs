use std::fmt;

use serde::{Deserialize, Serialize};

/// A value of the policy document that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyProblem {
    /// Path of the field, such as `kinds.batch.ceiling_percent`.
    pub key: String,
    /// The value found.
    pub found: String,
    /// The form expected.
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
