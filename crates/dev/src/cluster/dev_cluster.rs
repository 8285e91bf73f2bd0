use std::net::SocketAddr;

use lagoon_admin::Admin;
use lagoon_core::unit::Millis;
use lagoon_gateway::Gateway;
use lagoon_platform::store::Precondition;
use lagoon_platform::{ClientSettings, StoreClient, Transport};
use lagoon_process::Clock;
use lagoon_process::settings::Address;
use lagoon_scheduler::Scheduler;
use lagoon_standin::platform::PlatformHandle;

use crate::cluster::dev_settings;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Number of schedulers, and of gateways, in the cluster.
const ENTRY_HOSTS: usize = 2;
/// Key of the policy document in the store.
const POLICY_KEY: &str = "policy";
/// Maximum wait until the cluster accepts work.
const READY_TIMEOUT: Millis = Millis::new(20_000);

/// A running development cluster.
#[derive(Debug)]
pub struct Cluster {
    platform: PlatformHandle,
    schedulers: Vec<Scheduler>,
    gateways: Vec<Gateway>,
    admin: Admin,
}

impl Cluster {
    /// Starts the fake platform, the schedulers, the gateways and the admin process.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the store doesn't accept the policy.
    pub async fn spawn() -> Result<Self, BoxError> {
        let platform = PlatformHandle::bind(dev_settings::platform()).await?;
        let client = Transport::new(ClientSettings::default());
        let store = StoreClient::new(platform.store.endpoint(), client);
        let policy = serde_json::to_string(&dev_settings::policy())?;
        store
            .put(POLICY_KEY, &policy, Precondition::Absent, None)
            .await?;
        let clock = Clock::anchored();
        let mut schedulers: Vec<Scheduler> = Vec::new();
        for index in 0..ENTRY_HOSTS {
            let peers = addresses(&schedulers);
            let (store, hosts) = (platform.store.address(), platform.hosts.address());
            let settings = dev_settings::scheduler(index, peers, store, hosts);
            schedulers.push(Scheduler::bind(settings, clock).await?);
        }
        let mut gateways = Vec::new();
        for index in 0..ENTRY_HOSTS {
            let settings = dev_settings::gateway(index, addresses(&schedulers));
            gateways.push(Gateway::bind(settings, clock).await?);
        }
        let settings = dev_settings::admin(addresses(&schedulers), platform.store.address());
        let admin = Admin::bind(settings, clock).await?;
        Ok(Self {
            platform,
            schedulers,
            gateways,
            admin,
        })
    }

    /// Waits until all processes are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process is not ready within 20 s.
    pub async fn ready(&self) -> Result<(), BoxError> {
        let schedulers = self.schedulers.iter().map(Scheduler::readiness);
        let gateways = self.gateways.iter().map(Gateway::readiness);
        let all = schedulers.chain(gateways).chain([self.admin.readiness()]);
        for readiness in all {
            let ready = tokio::time::timeout(READY_TIMEOUT.to_duration(), readiness.wait()).await;
            if ready.is_err() {
                let reason = readiness.reason().unwrap_or_default();
                return Err(format!("not ready after {READY_TIMEOUT}: {reason}").into());
            }
        }
        Ok(())
    }

    /// Returns the addresses of the callers' API.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(Gateway::address).collect()
    }

    /// Returns the address of the operators' API.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the number of times that a worker was given more than its capacity or a task ran twice.
    pub fn violations(&self) -> u64 {
        self.platform.workers.violations().count
    }

    /// Returns a listing of the addresses of all processes.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for gateway in &self.gateways {
            lines.push(format!("gateway    http://{}", gateway.address()));
        }
        for scheduler in &self.schedulers {
            let (calls, health) = (scheduler.address(), scheduler.health_address());
            lines.push(format!(
                "scheduler  http://{calls} (gRPC), http://{health} (health)"
            ));
        }
        lines.push(format!("admin      http://{}", self.admin.address()));
        let platform = &self.platform;
        lines.push(format!("store      http://{}", platform.store.address()));
        lines.push(format!("host list  http://{}", platform.hosts.address()));
        lines.push(format!("workers    http://{}", platform.workers.address()));
        lines.push(format!(
            "executors  http://{}",
            platform.executors.address()
        ));
        lines.join("\n")
    }

    /// Stops all processes: the admin process, the gateways, the schedulers, and then the platform.
    pub async fn stop(self) {
        self.admin.stop().await;
        for gateway in self.gateways {
            gateway.stop().await;
        }
        for scheduler in self.schedulers {
            scheduler.stop().await;
        }
        self.platform.stop().await;
    }
}

fn addresses(schedulers: &[Scheduler]) -> Vec<Address> {
    schedulers
        .iter()
        .map(|scheduler| Address::new(scheduler.address()))
        .collect()
}
