use serde::Serialize;

/// Results of one class of work. Waits are in milliseconds of virtual time, and include those of work that never
/// started.
#[derive(Debug, Clone, Serialize)]
pub struct ClassRow {
    /// Kind, urgency and whether it is part of the flood.
    pub class: String,
    /// Work submitted in the measurement window.
    pub submitted: u64,
    /// Work that started.
    pub started: u64,
    /// Work that ran and succeeded.
    pub succeeded: u64,
    /// Work that ran and failed.
    pub failed: u64,
    /// Work refused, cancelled or expired.
    pub refused: u64,
    /// Median wait.
    pub wait_p50: u64,
    /// Wait at the 99th percentile.
    pub wait_p99: u64,
    /// Longest wait.
    pub wait_max: u64,
    /// Starts per second in the measurement window, whenever the work was submitted.
    pub starts_per_second: f64,
}
