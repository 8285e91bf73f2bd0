use std::fmt;

use lagoon_core::Refusal;
use serde::{Deserialize, Serialize};

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeResult {
    /// The command was about to be executed. Without a later record, its result is unknown.
    Intended,
    /// Executed, except on the shards listed in `failed`.
    Applied {
        /// Number of items changed.
        changed: u64,
        /// Shards that did not apply the change, with the reason.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        failed: Vec<String>,
    },
    /// Refused; nothing changed.
    Refused(Refusal),
    /// The change may or may not have been applied.
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
