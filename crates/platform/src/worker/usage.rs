use lagoon_core::unit::{Millis, Resources};
use serde::{Deserialize, Serialize};

/// Use of a worker's resources, as of some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Resources that running tasks were started with.
    pub assigned: Resources,
    /// Resources that running tasks were seen to use.
    pub observed: Resources,
    /// Age of the figures.
    pub age_ms: Millis,
}
