use std::fmt;

use lagoon_core::Refusal;
use serde::{Deserialize, Serialize};

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeResult {
    /// About to be made; without a later record the result is not known.
    Intended,
    /// Made, apart from the parts that failed.
    Applied {
        /// Number of things that changed.
        changed: u64,
        /// Shards that did not make the change, with the reason.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        failed: Vec<String>,
    },
    /// Nothing changed.
    Refused(Refusal),
    /// It may have been made.
    NotKnown(Refusal),
}

impl fmt::Display for ChangeResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Intended => f.write_str("intended"),
            Self::Applied { changed, failed } if failed.is_empty() => {
                write!(f, "applied: {changed} changed")
            }
            Self::Applied { changed, failed } => {
                let failed = failed.join("; ");
                write!(f, "applied in part: {changed} changed; {failed}")
            }
            Self::Refused(refusal) => write!(f, "refused: {refusal}"),
            Self::NotKnown(refusal) => write!(f, "not known: {refusal}"),
        }
    }
}
