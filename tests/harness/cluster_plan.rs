/// Size and settings of a cluster. Counts are per failure domain.
#[derive(Debug, Clone)]
pub(crate) struct ClusterPlan {
    pub(crate) domains: Vec<&'static str>,
    pub(crate) schedulers: usize,
    pub(crate) gateways: usize,
    pub(crate) shards: u16,
    pub(crate) workers: u32,
    pub(crate) executors: u32,
    /// Task lease: tasks of a shard without an owner stop by themselves after this time.
    pub(crate) task_ttl_ms: u64,
    /// Uses the default lease and heartbeat times instead of shorter ones.
    pub(crate) default_times: bool,
    /// Additional command-line arguments of the simulated platform.
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

    /// Two schedulers and two gateways in each of two failure domains.
    pub(crate) fn two_domains() -> Self {
        Self {
            domains: vec!["malang", "kediri"],
            ..Self::one_domain()
        }
    }
}
