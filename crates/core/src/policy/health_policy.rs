use serde::{Deserialize, Serialize};

use crate::policy::Percent;
use crate::unit::Millis;

/// When a worker that fails what it starts is rested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HealthPolicy {
    /// Time in which failures are counted.
    pub window: Millis,
    /// Failures without a success within the window that rest a worker.
    pub failures: u32,
    /// Time without new work.
    pub rest: Millis,
    /// Largest share of the known workers that rests at one time.
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
