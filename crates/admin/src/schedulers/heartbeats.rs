use std::net::SocketAddr;
use std::time::Duration;

use lagoon_process::health::Readiness;
use lagoon_process::shutdown::Signal;
use lagoon_wire::v1;
use lagoon_wire::v1::peer_client::PeerClient;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::schedulers::SchedulerPool;

/// Interval between heartbeats. Queries call the schedulers directly, so heartbeats only discover new members.
const INTERVAL: Duration = Duration::from_millis(1_000);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends heartbeats to every known scheduler to discover the others.
#[derive(Debug, Clone)]
pub(crate) struct Heartbeats {
    pub(crate) sender: v1::Member,
    pub(crate) schedulers: SchedulerPool,
    pub(crate) readiness: Readiness,
}

impl Heartbeats {
    /// Runs until `stop` fires. A round of heartbeats finishes before the next one starts.
    pub(crate) async fn run(self, mut stop: Signal) {
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.send_all().await,
                () = stop.wait() => break,
            }
        }
    }

    async fn send_all(&self) {
        self.schedulers.remove_stale();
        let mut calls = JoinSet::new();
        for address in self.schedulers.members.addresses() {
            let this = self.clone();
            calls.spawn(async move { this.send(address).await });
        }
        let answered = calls.join_all().await.contains(&true);
        if answered && self.readiness.set(None) {
            tracing::info!("admin: ready");
        }
    }

    async fn send(&self, address: SocketAddr) -> bool {
        let req = v1::HeartbeatRequest {
            sender: Some(self.sender.clone()),
            leaving: false,
        };
        let mut client = PeerClient::new(self.schedulers.channels.get(address));
        match timeout(RESPONSE_TIMEOUT, client.heartbeat(req)).await {
            Ok(Ok(response)) => {
                let response = response.into_inner();
                let now = self.schedulers.clock.now();
                for member in response.members.iter().chain(&response.receiver) {
                    self.schedulers.members.update(member, now);
                }
                true
            }
            Ok(Err(status)) => {
                tracing::debug!("admin: heartbeat to {address} failed: {status}");
                false
            }
            Err(_) => {
                tracing::debug!("admin: heartbeat to {address} timed out");
                false
            }
        }
    }
}
