use serde::{Deserialize, Serialize};

use crate::store::LeaseId;

/// Answer to `POST /lease`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseResponse {
    /// The new lease.
    pub lease: LeaseId,
}
