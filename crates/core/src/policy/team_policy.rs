use serde::{Deserialize, Serialize};

use crate::policy::Weight;
use crate::unit::Resources;

/// Weight and limits of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamPolicy {
    /// Weight in the fair share.
    #[serde(default = "default_weight")]
    pub weight: Weight,
    /// Resources that running work may use at one time in a shard's failure domain.
    pub quota: Resources,
    /// Largest number of items waiting in a shard.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u64,
}

fn default_weight() -> Weight {
    Weight::new(1)
}

fn default_queue_limit() -> u64 {
    10_000
}
