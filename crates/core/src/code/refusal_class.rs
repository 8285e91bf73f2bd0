use std::fmt;

use serde::{Deserialize, Serialize};

/// What a refusal tells about the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalClass {
    /// The work did not run and will not.
    NotRun,
    /// The work may have run. The system never runs it again.
    NotKnown,
    /// The work was not accepted by this process; the caller may try another one, or retry later.
    Elsewhere,
}

impl fmt::Display for RefusalClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::NotKnown => "not_known",
            Self::Elsewhere => "elsewhere",
        })
    }
}
