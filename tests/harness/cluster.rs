use std::path::Path;
use std::time::Duration;

use lagoon_core::id::ShardId;
use lagoon_core::journal::{Head, JournalKeys};
use lagoon_standin::free_address;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::harness::settings_files;
use crate::harness::{BoxError, Caller, Client, ClusterPlan, Daemon, DaemonKind, Platform};

/// Starts of a cluster before a port conflict counts as a failure.
const TRIES: usize = 3;

/// A running cluster: the fake platform, schedulers and gateways, each in a process of its own.
#[derive(Debug)]
pub(crate) struct Cluster {
    // Dropped in this order: the daemons end before the platform that they call.
    pub(crate) gateways: Vec<Daemon>,
    pub(crate) schedulers: Vec<Daemon>,
    pub(crate) platform: Platform,
    pub(crate) client: Client,
    _folder: TempDir,
}

impl Cluster {
    /// Starts a cluster with the default policy and waits until every process takes work.
    pub(crate) async fn start(plan: &ClusterPlan) -> Result<Self, BoxError> {
        Self::start_with(plan, &policy(1)).await
    }

    /// Starts a cluster with a policy document.
    pub(crate) async fn start_with(plan: &ClusterPlan, policy: &Value) -> Result<Self, BoxError> {
        let mut tries = 1;
        loop {
            let mut cluster = Self::spawn(plan)?;
            cluster.platform.put_policy(policy).await?;
            let ready = cluster.ready().await;
            // A daemon that has ended at the start did not get its port, and another process may answer there.
            match cluster.has_ended_daemon() {
                false => return ready.map(|()| cluster),
                true if tries < TRIES => tries += 1,
                true => return Err("a daemon ended at its start".into()),
            }
        }
    }

    fn spawn(plan: &ClusterPlan) -> Result<Self, BoxError> {
        let folder = tempfile::tempdir()?;
        let platform = Platform::start(plan, folder.path())?;
        let mut schedulers = Vec::new();
        for domain in &plan.domains {
            for index in 0..plan.schedulers {
                let name = format!("{domain}-scheduler-{index}");
                schedulers.push(daemon(DaemonKind::Scheduler, name, domain, folder.path())?);
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
                let mut daemon = daemon(DaemonKind::Gateway, name, domain, folder.path())?;
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
            _folder: folder,
        })
    }

    /// Waits until every process takes work.
    pub(crate) async fn ready(&self) -> Result<(), BoxError> {
        for daemon in self.schedulers.iter().chain(&self.gateways) {
            daemon.ready(&self.client).await?;
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
    pub(crate) fn caller_at_all(&self, domain: &'static str) -> Caller {
        let addresses = self.gateways.iter().map(|daemon| daemon.address).collect();
        Caller::new(self.client.clone(), domain, addresses)
    }

    /// Returns the number of the scheduler that owns a shard, as the store has it.
    pub(crate) async fn owner(&self, shard: &ShardId) -> Result<usize, BoxError> {
        let key = JournalKeys::new(shard).head();
        let entry = self.platform.store.get(&key).await?;
        let entry = entry.ok_or_else(|| format!("{key} is missing"))?;
        let head: Head = serde_json::from_str(&entry.value)?;
        let mut schedulers = self.schedulers.iter();
        let found = schedulers.position(|daemon| daemon.name == head.owner.as_str());
        found.ok_or_else(|| format!("{} is not a scheduler", head.owner).into())
    }

    /// Kills a scheduler, starts it again after a while and waits until it takes work.
    pub(crate) async fn replace_scheduler(
        &mut self,
        number: usize,
        down: Duration,
    ) -> Result<(), BoxError> {
        let daemon = &mut self.schedulers[number];
        daemon.kill();
        tokio::time::sleep(down).await;
        daemon.start()?;
        daemon.ready(&self.client).await
    }

    /// Fails if a worker saw something that must never happen.
    pub(crate) async fn check_workers(&self) -> Result<(), BoxError> {
        let seen = self.platform.violations().await?;
        match seen.count {
            0 => Ok(()),
            count => Err(format!("{count} violations: {:?}", seen.violations).into()),
        }
    }

    fn has_ended_daemon(&mut self) -> bool {
        let mut daemons = self.schedulers.iter_mut().chain(&mut self.gateways);
        daemons.any(|daemon| !daemon.is_running())
    }
}

/// Returns the policy document of the tests.
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
    folder: &Path,
) -> Result<Daemon, BoxError> {
    let address = free_address()?;
    let health = match kind {
        DaemonKind::Scheduler => free_address()?,
        DaemonKind::Gateway => address,
    };
    let settings = folder.join(format!("{name}.yaml"));
    Ok(Daemon::new(kind, name, domain, address, health, settings))
}
