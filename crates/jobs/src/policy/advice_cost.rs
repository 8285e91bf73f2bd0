use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

/// Time that the placement adviser takes to answer one request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdviceCost {
    /// Part that does not depend on the number of executors in the request.
    pub fixed: Millis,
    /// Part for each executor in the request, in milliseconds.
    pub per_executor_ms: f64,
}

impl AdviceCost {
    /// Returns the time for a request with a number of executors.
    pub fn of(&self, executors: usize) -> Millis {
        let variable = self.per_executor_ms * executors as f64;
        self.fixed.saturating_add(Millis::new(variable as u64))
    }
}
