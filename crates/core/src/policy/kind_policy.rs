use serde::{Deserialize, Serialize};

use crate::policy::Percent;

/// Shares of one kind of work in the fleet, and in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KindPolicy {
    /// Share that other kinds can't use while work of this kind waits.
    pub guaranteed_percent: Percent,
    /// Share of the fleet from which on no further work of this kind starts.
    pub ceiling_percent: Percent,
}

impl Default for KindPolicy {
    fn default() -> Self {
        Self {
            guaranteed_percent: Percent::new(20),
            ceiling_percent: Percent::new(90),
        }
    }
}
