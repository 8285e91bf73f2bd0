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
use crate::limit::InFlight;
use crate::routing::{Members, RoutingTable};

const EVERY: Duration = Duration::from_millis(500);
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);
const ROLE: &str = "gateway";

/// Sends heartbeats to every known scheduler and keeps the routing table and the readiness up to date.
#[derive(Debug, Clone)]
pub(crate) struct Heartbeats {
    pub(crate) process: ProcessId,
    pub(crate) domain: FailureDomain,
    pub(crate) shards: u16,
    pub(crate) address: SocketAddr,
    pub(crate) members: Arc<Members>,
    pub(crate) table: Arc<RoutingTable>,
    /// Apart from the channels of requests, so that a flood of requests doesn't delay heartbeats.
    pub(crate) channels: Arc<Channels>,
    pub(crate) readiness: Readiness,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) in_flight: Arc<InFlight>,
    /// Set when the gateway has begun to stop and must not become ready again.
    pub(crate) stopping: Signal,
}

impl Heartbeats {
    /// Runs until `ended` is set, then tells the schedulers that this process leaves.
    pub(crate) async fn run(self, mut ended: Signal) {
        let mut ticks = tokio::time::interval(EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => self.start_calls(&mut calls),
                Some(_) = calls.join_next() => {}
                () = ended.wait() => break,
            }
            self.update_readiness();
        }
        self.leave().await;
    }

    fn start_calls(&self, calls: &mut JoinSet<()>) {
        self.metrics
            .gauge("requests.in_flight", self.in_flight.total());
        self.members.forget_old(self.clock.now());
        for address in self.members.all() {
            let Some(turn) = self.members.take_turn(address) else {
                continue;
            };
            let this = self.clone();
            calls.spawn(async move {
                this.call(address, false).await;
                drop(turn);
            });
        }
    }

    async fn call(&self, address: SocketAddr, leaving: bool) {
        let sender = v1::Member {
            process: self.process.to_string(),
            role: ROLE.to_owned(),
            domain: self.domain.to_string(),
            address: self.address.to_string(),
            policy_version: self.table.policy_version().get(),
            ..Default::default()
        };
        let sender = Some(sender);
        let mut client = PeerClient::new(self.channels.get(address));
        let answer = client.heartbeat(v1::HeartbeatRequest { sender, leaving });
        match timeout(ANSWER_WITHIN, answer).await {
            Ok(Ok(answer)) => self.learn(&answer.into_inner()),
            Ok(Err(status)) => {
                self.metrics.count("heartbeats.failed", 1);
                tracing::debug!("gateway: heartbeat to {address} failed: {status}");
            }
            Err(_) => {
                self.metrics.count("heartbeats.late", 1);
                tracing::debug!("gateway: heartbeat to {address} was not answered in time");
            }
        }
    }

    fn learn(&self, answer: &v1::HeartbeatResponse) {
        let now = self.clock.now();
        if let Some(receiver) = &answer.receiver {
            self.members.learn(receiver, now);
            self.table.learn(receiver, true, now);
        }
        for member in &answer.members {
            self.members.learn(member, now);
            self.table.learn(member, false, now);
        }
    }

    fn update_readiness(&self) {
        if self.stopping.is_set() {
            return;
        }
        let reason = self.reason_not_ready();
        self.metrics.gauge("ready", reason.is_none().into());
        if self.readiness.set(reason.clone()) {
            match reason {
                None => tracing::info!("gateway: ready"),
                Some(reason) => tracing::warn!("gateway: not ready: {reason}"),
            }
        }
    }

    fn reason_not_ready(&self) -> Option<String> {
        let claimed = self.table.highest_number(&self.domain);
        if claimed.is_some_and(|number| number >= self.shards) {
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

    async fn leave(&self) {
        let mut calls = JoinSet::new();
        for address in self.members.all() {
            let this = self.clone();
            calls.spawn(async move { this.call(address, true).await });
        }
        calls.join_all().await;
    }
}
