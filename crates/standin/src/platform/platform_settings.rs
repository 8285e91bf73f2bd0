use lagoon_core::id::{FailureDomain, ServiceName};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources};

use crate::store::StoreSettings;

/// Settings of a fake platform. Counts are per failure domain.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Failure domains.
    pub domains: Vec<FailureDomain>,
    /// Number of workers, one on each host.
    pub workers: u32,
    /// Number of racks that the workers are distributed over.
    pub racks: u32,
    /// Number of executors, distributed over the hosts.
    pub executors: u32,
    /// Service of the executors.
    pub service: ServiceName,
    /// Slots of each executor.
    pub slots: u32,
    /// Maximum number of connections to each executor.
    pub connections: u32,
    /// Resources of each worker.
    pub capacity: Resources,
    /// Ratio of a task's actual to its declared run time.
    pub run_time_factor: f64,
    /// Lag of the host list.
    pub host_list_lag: Millis,
    /// Address and limits of the store.
    pub store: StoreSettings,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let name = "names are valid literals";
        Self {
            domains: vec!["cluj".parse().expect(name)],
            workers: 4,
            racks: 2,
            executors: 2,
            service: "planner".parse().expect(name),
            slots: 8,
            connections: 60,
            capacity: Resources::new(Millicores::new(16_000), Bytes::new(32 << 30)),
            run_time_factor: 1.0,
            host_list_lag: Millis::ZERO,
            store: StoreSettings::default(),
        }
    }
}
