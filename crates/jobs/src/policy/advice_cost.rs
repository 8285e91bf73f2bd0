use lagoon_core::unit::Millis;

/// Time that the placement adviser takes for one question.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdviceCost {
    /// Part that doesn't depend on the number of executors named.
    pub fixed: Millis,
    /// Part for each executor named, in milliseconds.
    pub per_executor_ms: f64,
}

impl AdviceCost {
    /// Returns the time for a question that names `executors`.
    pub fn of(&self, executors: usize) -> Millis {
        let variable = self.per_executor_ms * executors as f64;
        self.fixed.saturating_add(Millis::new(variable as u64))
    }
}
