use serde::{Deserialize, Serialize};

use crate::store::LeaseId;

/// Response of `POST /lease`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseResponse {
    /// Id of the new lease.
    pub lease: LeaseId,
}
