use lagoon_core::unit::{Millis, Resources};
use serde::{Deserialize, Serialize};

/// Resource usage of a worker, measured `age_ms` ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Resources allocated to running tasks.
    pub assigned: Resources,
    /// Measured usage of running tasks.
    pub observed: Resources,
    /// Age of the measurement.
    pub age_ms: Millis,
}
