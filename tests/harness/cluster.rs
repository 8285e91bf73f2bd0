use std::path::Path;
use std::time::Duration;

use lagoon_core::id::ShardId;
use lagoon_core::journal::{Head, JournalKeys};
use lagoon_standin::free_address;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::harness::settings_files;
use crate::harness::{BoxError, Caller, Client, ClusterPlan, Daemon, DaemonKind, Platform};

/// Attempts to start a cluster: another process may take a free port before a daemon binds it.
const MAX_ATTEMPTS: usize = 3;

/// Running cluster: the simulated platform, schedulers and gateways, each in its own process.
#[derive(Debug)]
pub(crate) struct Cluster {
    // Fields are dropped in this order: daemons stop before the platform that they call.
    pub(crate) gateways: Vec<Daemon>,
    pub(crate) schedulers: Vec<Daemon>,
    pub(crate) platform: Platform,
    pub(crate) client: Client,
    _dir: TempDir,
}

impl Cluster {
    /// Starts a cluster with the default policy and waits until every process is ready.
    pub(crate) async fn start(plan: &ClusterPlan) -> Result<Self, BoxError> {
        Self::start_with_policy(plan, &policy(1)).await
    }

    /// Starts a cluster with the given policy document and waits until every process is ready.
    pub(crate) async fn start_with_policy(
        plan: &ClusterPlan,
        policy: &Value,
    ) -> Result<Self, BoxError> {
        let mut attempts = 1;
        loop {
            let mut cluster = Self::spawn(plan)?;
            cluster.platform.put_policy(policy).await?;
            let ready = cluster.wait_until_ready().await;
            // A daemon that exited at start-up could not bind its port, and another process may answer there.
            match cluster.any_daemon_exited() {
                false => return ready.map(|()| cluster),
                true if attempts < MAX_ATTEMPTS => attempts += 1,
                true => return Err("a daemon exited at start-up in every attempt".into()),
            }
        }
    }

    fn spawn(plan: &ClusterPlan) -> Result<Self, BoxError> {
        let dir = tempfile::tempdir()?;
        let platform = Platform::start(plan, dir.path())?;
        let mut schedulers = Vec::new();
        for domain in &plan.domains {
            for index in 0..plan.schedulers {
                let name = format!("{domain}-scheduler-{index}");
                schedulers.push(daemon(DaemonKind::Scheduler, name, domain, dir.path())?);
            }
        }
        let addresses: Vec<_> = schedulers.iter().map(|daemon| daemon.address).collect();
        let endpoints = (&platform.addresses.store, &platform.addresses.hosts);
        for daemon in &mut schedulers {
            let (listen, health) = (daemon.address, daemon.health);
            let peers: Vec<_> = addresses.iter().copied().filter(|a| *a != listen).collect();
            let (name, domain) = (&daemon.name, daemon.domain);
            let text =
                settings_files::scheduler(plan, name, domain, listen, health, &peers, endpoints);
            daemon.write_settings(&text)?;
            daemon.start()?;
        }
        let mut gateways = Vec::new();
        for domain in &plan.domains {
            for index in 0..plan.gateways {
                let name = format!("{domain}-gateway-{index}");
                let mut daemon = daemon(DaemonKind::Gateway, name, domain, dir.path())?;
                let (name, listen) = (&daemon.name, daemon.address);
                let text = settings_files::gateway(plan, name, domain, listen, &addresses);
                daemon.write_settings(&text)?;
                daemon.start()?;
                gateways.push(daemon);
            }
        }
        Ok(Self {
            gateways,
            schedulers,
            platform,
            client: Client::new(),
            _dir: dir,
        })
    }

    /// Waits until every process is ready.
    pub(crate) async fn wait_until_ready(&self) -> Result<(), BoxError> {
        for daemon in self.schedulers.iter().chain(&self.gateways) {
            daemon.wait_until_ready(&self.client).await?;
        }
        Ok(())
    }

    /// Returns a caller that uses the gateways of its failure domain.
    pub(crate) fn caller(&self, domain: &'static str) -> Caller {
        let own = self
            .gateways
            .iter()
            .filter(|daemon| daemon.domain == domain);
        let addresses = own.map(|daemon| daemon.address).collect();
        Caller::new(self.client.clone(), domain, addresses)
    }

    /// Returns a caller that uses the gateways of all failure domains.
    pub(crate) fn caller_at_all_gateways(&self, domain: &'static str) -> Caller {
        let addresses = self.gateways.iter().map(|daemon| daemon.address).collect();
        Caller::new(self.client.clone(), domain, addresses)
    }

    /// Returns the index of the scheduler that owns a shard according to the store.
    pub(crate) async fn owner(&self, shard: &ShardId) -> Result<usize, BoxError> {
        let key = JournalKeys::new(shard).head();
        let entry = self.platform.store.get(&key).await?;
        let entry = entry.ok_or_else(|| format!("key {key} is missing from the store"))?;
        let head: Head = serde_json::from_str(&entry.value)?;
        let mut schedulers = self.schedulers.iter();
        let found = schedulers.position(|daemon| daemon.name == head.owner.as_str());
        found.ok_or_else(|| {
            format!("owner {} is not a scheduler of this cluster", head.owner).into()
        })
    }

    /// Kills a scheduler, starts it again after `down` and waits until it is ready.
    pub(crate) async fn restart_scheduler(
        &mut self,
        number: usize,
        down: Duration,
    ) -> Result<(), BoxError> {
        let daemon = &mut self.schedulers[number];
        daemon.kill();
        tokio::time::sleep(down).await;
        daemon.start()?;
        daemon.wait_until_ready(&self.client).await
    }

    /// Fails if a simulated worker recorded a violation.
    pub(crate) async fn check_violations(&self) -> Result<(), BoxError> {
        let seen = self.platform.violations().await?;
        match seen.count {
            0 => Ok(()),
            count => Err(format!("{count} violations: {:?}", seen.violations).into()),
        }
    }

    fn any_daemon_exited(&mut self) -> bool {
        let mut daemons = self.schedulers.iter_mut().chain(&mut self.gateways);
        daemons.any(|daemon| !daemon.is_running())
    }
}

/// Returns the default policy document of the tests.
pub(crate) fn policy(version: u64) -> Value {
    json!({
        "version": version,
        "teams": {"settlers": {"quota": {"cpu": 200_000, "memory": 549_755_813_888_u64}}},
        "services": {"planner": {}},
    })
}

fn daemon(
    kind: DaemonKind,
    name: String,
    domain: &'static str,
    dir: &Path,
) -> Result<Daemon, BoxError> {
    let address = free_address()?;
    let health = match kind {
        DaemonKind::Scheduler => free_address()?,
        DaemonKind::Gateway => address,
    };
    let settings = dir.join(format!("{name}.yaml"));
    Ok(Daemon::new(kind, name, domain, address, health, settings))
}
