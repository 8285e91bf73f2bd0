/// Size of a cluster. Counts apply to each failure domain.
#[derive(Debug, Clone)]
pub(crate) struct ClusterPlan {
    pub(crate) domains: Vec<&'static str>,
    pub(crate) schedulers: usize,
    pub(crate) gateways: usize,
    pub(crate) shards: u16,
    pub(crate) workers: u32,
    pub(crate) executors: u32,
    /// Time after which the tasks of a shard without an owner stop by themselves.
    pub(crate) task_ttl_ms: u64,
    /// Leaves the times of leases and heartbeats at the defaults of the settings.
    pub(crate) default_times: bool,
    /// Further arguments of the fake platform.
    pub(crate) platform_args: Vec<String>,
}

impl ClusterPlan {
    /// Two schedulers and two gateways in one failure domain.
    pub(crate) fn one_domain() -> Self {
        Self {
            domains: vec!["malang"],
            schedulers: 2,
            gateways: 2,
            shards: 2,
            workers: 8,
            executors: 8,
            task_ttl_ms: 20_000,
            default_times: false,
            platform_args: Vec::new(),
        }
    }

    /// The same in each of two failure domains.
    pub(crate) fn two_domains() -> Self {
        Self {
            domains: vec!["malang", "kediri"],
            ..Self::one_domain()
        }
    }
}
