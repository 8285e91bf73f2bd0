use lagoon_core::id::PolicyVersion;
use serde::{Deserialize, Serialize};

/// The policy document that a command writes, to find out later whether it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PolicyMark {
    /// Version of the document.
    pub(crate) version: PolicyVersion,
    /// Hash of its text.
    pub(crate) hash: u64,
    /// Number of things that it changes.
    pub(crate) changed: u64,
}
