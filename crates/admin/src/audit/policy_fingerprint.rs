use lagoon_core::id::PolicyVersion;
use serde::{Deserialize, Serialize};

/// Identifies the policy document that a command writes, to determine later whether it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PolicyFingerprint {
    /// Version of the document.
    pub(crate) version: PolicyVersion,
    /// Hash of the document's text.
    pub(crate) hash: u64,
    /// Number of policy values changed.
    pub(crate) changed: u64,
}
