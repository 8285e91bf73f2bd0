use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

/// Body of `POST /lease`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Time after which the lease and its keys expire unless it is kept alive.
    pub ttl_ms: Millis,
}
