use std::net::SocketAddr;

use lagoon_core::unit::Millis;

use crate::workers::WorkerSettings;

/// Settings of a server with fake workers.
#[derive(Debug, Clone)]
pub struct WorkersSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// The workers.
    pub workers: Vec<WorkerSettings>,
    /// Factor from a task's declared to its actual run time.
    pub run_time_factor: f64,
    /// Factor from a task's declared to its observed resources.
    pub observed_factor: f64,
    /// Time between two measurements of use.
    pub usage_lag: Millis,
}

impl Default for WorkersSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            workers: Vec::new(),
            run_time_factor: 1.0,
            observed_factor: 0.5,
            usage_lag: Millis::new(1_000),
        }
    }
}
