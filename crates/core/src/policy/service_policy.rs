use serde::{Deserialize, Serialize};

use crate::unit::Millis;
use crate::work::Repeatability;

/// Limits of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServicePolicy {
    /// Longest time from the start of a request to its response.
    pub request_timeout: Millis,
    /// Largest number of requests waiting in a shard.
    pub queue_limit: u64,
    /// Whether a request may run again after its executor was lost.
    pub repeatability: Repeatability,
    /// Whether acceptance and outcome of each request are recorded in the journal.
    pub journal: bool,
}

impl Default for ServicePolicy {
    fn default() -> Self {
        Self {
            request_timeout: Millis::new(30_000),
            queue_limit: 10_000,
            repeatability: Repeatability::AtMostOnce,
            journal: false,
        }
    }
}
