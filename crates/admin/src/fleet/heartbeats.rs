use std::net::SocketAddr;
use std::time::Duration;

use lagoon_process::health::Readiness;
use lagoon_process::shutdown::Signal;
use lagoon_wire::v1;
use lagoon_wire::v1::peer_client::PeerClient;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::fleet::Fleet;

/// Queries ask the schedulers themselves, so heartbeats only have to find new ones.
const EVERY: Duration = Duration::from_millis(1_000);
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);

/// Sends heartbeats to every known scheduler to learn of the others.
#[derive(Debug, Clone)]
pub(crate) struct Heartbeats {
    pub(crate) sender: v1::Member,
    pub(crate) fleet: Fleet,
    pub(crate) readiness: Readiness,
}

impl Heartbeats {
    /// Runs until `ended` is set. One round ends before the next one begins.
    pub(crate) async fn run(self, mut ended: Signal) {
        let mut ticks = interval(EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.round().await,
                () = ended.wait() => break,
            }
        }
    }

    async fn round(&self) {
        self.fleet.forget_old();
        let mut calls = JoinSet::new();
        for address in self.fleet.members.addresses() {
            let this = self.clone();
            calls.spawn(async move { this.call(address).await });
        }
        let answered = calls.join_all().await.contains(&true);
        if answered && self.readiness.set(None) {
            tracing::info!("admin: ready");
        }
    }

    async fn call(&self, address: SocketAddr) -> bool {
        let req = v1::HeartbeatRequest {
            sender: Some(self.sender.clone()),
            leaving: false,
        };
        let mut client = PeerClient::new(self.fleet.channels.get(address));
        match timeout(ANSWER_WITHIN, client.heartbeat(req)).await {
            Ok(Ok(answer)) => {
                let answer = answer.into_inner();
                let now = self.fleet.clock.now();
                for member in answer.members.iter().chain(&answer.receiver) {
                    self.fleet.members.learn(member, now);
                }
                true
            }
            Ok(Err(status)) => {
                tracing::debug!("admin: heartbeat to {address} failed: {status}");
                false
            }
            Err(_) => {
                tracing::debug!("admin: heartbeat to {address} was not answered in time");
                false
            }
        }
    }
}
