use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoon_core::id::{FailureDomain, ProcessId};
use lagoon_process::health::Readiness;
use lagoon_process::shutdown::Signal;
use lagoon_process::{Clock, Metrics};
use lagoon_wire::v1;
use lagoon_wire::v1::peer_client::PeerClient;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, timeout};

use crate::forward::Channels;
use crate::limit::InFlightLimiter;
use crate::routing::{Members, RoutingTable};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
const GATEWAY_ROLE: &str = "gateway";

/// Sends heartbeats to all known schedulers and updates the routing table and the readiness from the responses.
#[derive(Debug, Clone)]
pub(crate) struct Heartbeats {
    pub(crate) process: ProcessId,
    pub(crate) domain: FailureDomain,
    pub(crate) shards: u16,
    pub(crate) address: SocketAddr,
    pub(crate) members: Arc<Members>,
    pub(crate) table: Arc<RoutingTable>,
    /// Separate from the forwarder's channels, so that many requests don't delay heartbeats.
    pub(crate) channels: Arc<Channels>,
    pub(crate) readiness: Readiness,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) in_flight: Arc<InFlightLimiter>,
    /// Set when the gateway is stopping and must not become ready again.
    pub(crate) stopping: Signal,
}

impl Heartbeats {
    /// Runs until `ended` is set, then notifies the schedulers that this process is leaving.
    pub(crate) async fn run(self, mut ended: Signal) {
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send_heartbeats(&mut calls),
                Some(_) = calls.join_next() => {}
                () = ended.wait() => break,
            }
            self.update_readiness();
        }
        self.announce_leaving().await;
    }

    fn send_heartbeats(&self, calls: &mut JoinSet<()>) {
        self.metrics
            .gauge("requests.in_flight", self.in_flight.total());
        self.members.evict_expired(self.clock.now());
        for address in self.members.addresses() {
            let Some(guard) = self.members.begin_heartbeat(address) else {
                continue;
            };
            let this = self.clone();
            calls.spawn(async move {
                this.send_heartbeat(address, false).await;
                drop(guard);
            });
        }
    }

    async fn send_heartbeat(&self, address: SocketAddr, leaving: bool) {
        let sender = v1::Member {
            process: self.process.to_string(),
            role: GATEWAY_ROLE.to_owned(),
            domain: self.domain.to_string(),
            address: self.address.to_string(),
            policy_version: self.table.policy_version().get(),
            ..Default::default()
        };
        let sender = Some(sender);
        let mut client = PeerClient::new(self.channels.get(address));
        let response = client.heartbeat(v1::HeartbeatRequest { sender, leaving });
        match timeout(HEARTBEAT_TIMEOUT, response).await {
            Ok(Ok(response)) => self.apply_response(&response.into_inner()),
            Ok(Err(status)) => {
                self.metrics.count("heartbeats.failed", 1);
                tracing::debug!("gateway: heartbeat to {address} failed: {status}");
            }
            Err(_) => {
                self.metrics.count("heartbeats.late", 1);
                tracing::debug!(
                    "gateway: heartbeat to {address} was not answered within {HEARTBEAT_TIMEOUT:?}"
                );
            }
        }
    }

    fn apply_response(&self, response: &v1::HeartbeatResponse) {
        let now = self.clock.now();
        if let Some(receiver) = &response.receiver {
            self.members.record(receiver, now);
            self.table.apply_member(receiver, true, now);
        }
        for member in &response.members {
            self.members.record(member, now);
            self.table.apply_member(member, false, now);
        }
    }

    fn update_readiness(&self) {
        if self.stopping.is_set() {
            return;
        }
        let reason = self.not_ready_reason();
        self.metrics.gauge("ready", reason.is_none().into());
        if self.readiness.set(reason.clone()) {
            match reason {
                None => tracing::info!("gateway: ready"),
                Some(reason) => tracing::warn!("gateway: not ready: {reason}"),
            }
        }
    }

    fn not_ready_reason(&self) -> Option<String> {
        let highest = self.table.highest_shard_number(&self.domain);
        if highest.is_some_and(|number| number >= self.shards) {
            return Some(
                "the schedulers have more shards than the settings of this gateway".into(),
            );
        }
        if self.table.policy_version().get() == 0 {
            return Some("no policy version is known".into());
        }
        let serving = self.table.serving(&self.domain, self.clock.now());
        let reason = || format!("no shard of {} is being served", self.domain);
        serving.is_empty().then(reason)
    }

    async fn announce_leaving(&self) {
        let mut calls = JoinSet::new();
        for address in self.members.addresses() {
            let this = self.clone();
            calls.spawn(async move { this.send_heartbeat(address, true).await });
        }
        calls.join_all().await;
    }
}
