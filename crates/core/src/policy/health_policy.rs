use serde::{Deserialize, Serialize};

use crate::policy::Percent;
use crate::unit::Millis;

/// When a failing worker rests, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HealthPolicy {
    /// Time in which failures are counted.
    pub window: Millis,
    /// Number of failures within the window, without a success in between, after which a worker rests.
    pub failures: u32,
    /// Time for which a resting worker receives no new work.
    pub rest: Millis,
    /// Largest share of the known workers that may rest at one time.
    pub rested_share_cap_percent: Percent,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            window: Millis::new(60_000),
            failures: 3,
            rest: Millis::new(120_000),
            rested_share_cap_percent: Percent::new(20),
        }
    }
}
