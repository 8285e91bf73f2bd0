use serde::{Deserialize, Serialize};

use crate::store::LeaseId;

/// Body of `PUT /kv/{key}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutRequest {
    /// New value.
    pub value: String,
    /// Expected version; zero for a key that must not exist, `None` for an unconditional write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<u64>,
    /// Lease with which the key expires.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseId>,
}
