use std::net::SocketAddr;

use lagoon_core::unit::Millis;

use crate::workers::WorkerSettings;

/// Settings of a server with fake workers.
#[derive(Debug, Clone)]
pub struct WorkersSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Workers to serve.
    pub workers: Vec<WorkerSettings>,
    /// Ratio of a task's actual to its declared run time.
    pub run_time_factor: f64,
    /// Ratio of a task's observed to its declared resources.
    pub observed_factor: f64,
    /// Minimum interval between two measurements of resource use.
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
