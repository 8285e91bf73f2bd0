use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::unit::{Bytes, Millis};
use lagoon_process::health::{self, Readiness};
use lagoon_process::server::{Limits, Server, Serving};
use lagoon_process::shutdown::{Signal, Trigger};
use lagoon_process::{Clock, Metrics, RunError, logging};
use lagoon_wire::v1::operator_server::OperatorServer;
use lagoon_wire::v1::peer_server::PeerServer;
use lagoon_wire::v1::scheduler_server::SchedulerServer;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};
use tonic::transport::server::TcpIncoming;

use crate::context::Context;
use crate::service::{Node, OperatorService, PeerService, SchedulerService};
use crate::settings::SchedulerSettings;
use crate::util::MAX_HAND_OVER_BYTES;
use crate::{drive, hosts, members, policy};

/// Limits of requests for health, readiness and metrics.
const HEALTH_LIMITS: Limits = Limits {
    max_body: Bytes::new(4 << 10),
    read_timeout: Millis::new(5_000),
    max_connections: 100,
    request_memory: Bytes::new(1 << 20),
};
/// Calls in flight per connection. A gateway forwards all requests over one connection.
const MAX_CONCURRENT_STREAMS: u32 = 20_000;
/// Largest message between processes; larger than the largest body that a gateway accepts.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// A running scheduler.
#[derive(Debug)]
pub struct Scheduler {
    address: SocketAddr,
    node: Arc<Node>,
    readiness: Readiness,
    health: Server<Serving>,
    stop: Trigger,
    server: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Scheduler {
    /// Binds the addresses and starts serving.
    ///
    /// # Errors
    ///
    /// An address that can't be bound.
    pub async fn bind(settings: SchedulerSettings, clock: Clock) -> Result<Self, RunError> {
        let metrics = Metrics::start(&settings.metrics)?;
        let cx = Context::new(settings, clock, metrics);
        let listen = cx.settings.listen;
        let failed = |e| RunError::new(format!("scheduler: can't listen on {listen}"), e);
        let listener = TcpListener::bind(listen.get()).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        cx.members.start(address.to_string(), cx.clock.now());
        let node = Node::new(cx.clone());
        let readiness = Readiness::not_ready("no policy has been received");
        let router = health::router(&readiness).merge(cx.metrics.router());
        let health = Server::bind(cx.settings.health, HEALTH_LIMITS)
            .await?
            .serve(router);
        let (stop, stopped) = Signal::manual();
        let server = tokio::spawn(serve(node.clone(), listener, stopped));
        let mut tasks = JoinSet::new();
        tasks.spawn(policy::watch(cx.clone()));
        tasks.spawn(hosts::poll(cx.clone()));
        tasks.spawn(members::register(cx.clone()));
        tasks.spawn(members::run_heartbeats(node.clone()));
        tasks.spawn(members::adopt(node.clone()));
        tasks.spawn(update_readiness(node.clone(), readiness.clone()));
        for cell in node.cells.values() {
            tasks.spawn(drive::elect(cell.clone()));
            tasks.spawn(drive::balance(cell.clone()));
        }
        tracing::info!("scheduler: {} listens on {address}", cx.settings.process);
        Ok(Self {
            address,
            node,
            readiness,
            health,
            stop,
            server,
            tasks,
        })
    }

    /// Returns the address for calls from other processes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for health, readiness and metrics.
    pub fn health_address(&self) -> SocketAddr {
        self.health.address()
    }

    /// Returns the readiness of the process to accept work.
    pub fn readiness(&self) -> &Readiness {
        &self.readiness
    }

    /// Stops gracefully: turns readiness off, hands the shards over once their requests have finished, answers the
    /// calls in flight and notifies the peers.
    pub async fn stop(self) {
        let Self {
            node,
            readiness,
            health,
            stop,
            server,
            mut tasks,
            ..
        } = self;
        readiness.set(Some("the process is stopping".to_owned()));
        node.cx.members.set_leaving();
        node.drain().await;
        members::announce_leaving(&node).await;
        tasks.shutdown().await;
        stop.fire();
        let _ = server.await;
        health.drain().stopped(HEALTH_LIMITS.read_timeout).await;
    }
}

async fn serve(node: Arc<Node>, listener: TcpListener, mut stopped: Signal) {
    let scheduler = SchedulerServer::new(SchedulerService::new(node.clone()))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let peer = PeerServer::new(PeerService::new(node.clone()))
        .max_decoding_message_size(MAX_HAND_OVER_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let operator = OperatorServer::new(OperatorService::new(node));
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .add_service(scheduler)
        .add_service(peer)
        .add_service(operator)
        .serve_with_incoming_shutdown(incoming, async move { stopped.wait().await })
        .await;
    if let Err(e) = served {
        tracing::error!("scheduler: server failed, calls are no longer accepted: {e}");
    }
}

/// Keeps readiness up to date: ready once a policy is in force and every shard of the failure domain has an owner.
async fn update_readiness(node: Arc<Node>, readiness: Readiness) {
    const INTERVAL: Millis = Millis::new(100);
    loop {
        if !node.cx.members.is_leaving() {
            readiness.set(node.not_ready_reason());
        }
        tokio::time::sleep(INTERVAL.to_duration()).await;
    }
}

/// Runs a scheduler until the signal to stop.
pub(crate) async fn run(settings: SchedulerSettings, mut signal: Signal) -> Result<(), RunError> {
    logging::start(&settings.log, "scheduler");
    let scheduler = Scheduler::bind(settings, Clock::anchored()).await?;
    signal.wait().await;
    scheduler.stop().await;
    Ok(())
}
