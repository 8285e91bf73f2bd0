use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::api;
use lagoon_core::unit::{Bytes, Millis};
use lagoon_process::health::Readiness;
use lagoon_process::server::{Limits, Server, Serving};
use lagoon_process::shutdown::{Signal, Trigger};
use lagoon_process::{Clock, Metrics, RunError, logging};
use lagoon_wire::v1::cell_peer_server::CellPeerServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tonic::transport::server::TcpIncoming;

use crate::api::JobApi;
use crate::context::Context;
use crate::owner::{self, ShardHandle};
use crate::peers::PeerService;
use crate::settings::LimitSettings;
use crate::{NodeSettings, cell, operator, policy};

/// Largest body of a caller that the platform allows.
pub(crate) const MAX_CALLER_BODY: Bytes = Bytes::new(256 << 10);
/// Time limit for reading from a client.
const READ_TIMEOUT: Millis = Millis::new(15_000);
/// Limits for the readiness and metrics endpoints.
const SMALL_LIMITS: Limits = Limits {
    max_body: Bytes::new(4 << 10),
    read_timeout: READ_TIMEOUT,
    max_connections: 100,
    request_memory: Bytes::new(1 << 20),
};
/// Part of the grace period in which the platform still sends new connections; it stops after two failed readiness checks.
const DRAIN_DELAY: Millis = Millis::new(2_300);
/// Part of the grace period reserved for the end of the process.
const EXIT_RESERVE: Millis = Millis::new(700);

/// A running node. Dropping it ends it immediately, like a crash.
#[derive(Debug)]
pub struct Node {
    settings: Arc<NodeSettings>,
    limits: watch::Sender<LimitSettings>,
    readiness: Readiness,
    callers: Server<Serving>,
    stop: Trigger,
    /// Tasks that end by themselves after the signal to stop.
    shutdown_tasks: JoinSet<()>,
    tasks: JoinSet<()>,
}

impl Node {
    /// Binds the listeners and starts serving.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn bind(settings: NodeSettings, clock: Clock) -> Result<Self, RunError> {
        let cx = Context::new(settings, clock, Metrics::default());
        let listen = &cx.settings.listen;
        let shard_handle = ShardHandle::empty();
        let readiness = Readiness::not_ready("no configuration received yet");
        let mut tasks = JoinSet::new();
        let ready = api::readiness_router(readiness.clone());
        let small = Server::bind(listen.readiness, SMALL_LIMITS)
            .await?
            .serve(ready);
        let metrics = Server::bind(listen.metrics, SMALL_LIMITS).await?;
        let metrics = metrics.serve(
            cx.metrics
                .text_router()
                .merge(operator::router(cx.clone(), shard_handle.clone())),
        );
        let job_api = Arc::new(JobApi::new(cx.clone(), shard_handle.clone()));
        let limits = Limits {
            max_body: MAX_CALLER_BODY,
            read_timeout: READ_TIMEOUT,
            max_connections: cx.settings.max_connections,
            request_memory: cx.settings.request_memory,
        };
        let callers = Server::bind(listen.callers, limits)
            .await?
            .with_metrics(cx.metrics.clone())
            .serve(api::router(job_api));
        tasks.spawn(hold_open(vec![small, metrics]));
        tasks.spawn(serve_peers(cx.clone(), shard_handle.clone()).await?);
        tasks.spawn(policy::follow(cx.clone()));
        tasks.spawn(policy::detect_pauses(cx.clone()));
        tasks.spawn(cell::follow(cx.clone()));
        tasks.spawn(cell::discover_owner(cx.clone()));
        tasks.spawn(follow_readiness(cx.clone(), readiness.clone()));
        let (stop, stopped) = Signal::manual();
        let (lease_tx, lease) = watch::channel(None);
        let mut shutdown_tasks = JoinSet::new();
        shutdown_tasks.spawn(cell::register(cx.clone(), lease_tx, stopped.clone()));
        shutdown_tasks.spawn(owner::run(cx.clone(), lease, shard_handle, stopped));
        tracing::info!(
            member = %cx.member(), failure_domain = %cx.settings.failure_domain,
            callers = %listen.callers, peers = %listen.peers, "node: started"
        );
        Ok(Self {
            settings: cx.settings.clone(),
            limits: cx.limits.clone(),
            readiness,
            callers,
            stop,
            shutdown_tasks,
            tasks,
        })
    }

    /// Applies the limits of changed settings. Names and addresses change only at the next start.
    pub fn reload(&self, settings: &NodeSettings) {
        self.limits.send_if_modified(|limits| {
            let changed = *limits != settings.limits;
            *limits = settings.limits;
            tracing::info!(changed, limits = ?limits, "node: settings reloaded");
            changed
        });
    }

    /// Leaves the cell, serves requests until the platform sends no more, and shuts down.
    pub async fn stop(mut self) {
        tracing::info!(member = %self.settings.member, "node: stopping");
        self.readiness.set(Some("node is stopping".to_owned()));
        self.stop.fire();
        while self.shutdown_tasks.join_next().await.is_some() {}
        let grace = self.limits.borrow().grace;
        let drain = grace
            .saturating_sub(DRAIN_DELAY)
            .saturating_sub(EXIT_RESERVE);
        tokio::time::sleep(DRAIN_DELAY.min(grace).to_duration()).await;
        let answered_all = self.callers.drain().stopped(drain).await;
        drop(self.tasks);
        tracing::info!(member = %self.settings.member, answered_all, "node: stopped");
    }
}

/// Runs a node until it receives a signal to stop.
pub(crate) async fn run(
    mut changes: watch::Receiver<Arc<NodeSettings>>,
    mut signal: Signal,
) -> Result<(), RunError> {
    let settings = changes.borrow_and_update().as_ref().clone();
    let log = logging::start_non_blocking(&settings.log, "node");
    let node = Node::bind(settings, Clock::anchored()).await?;
    loop {
        tokio::select! {
            () = signal.wait() => break,
            // The sender lives as long as the process, so `changed` never fails.
            Ok(()) = changes.changed() => node.reload(&changes.borrow_and_update()),
        }
    }
    node.stop().await;
    if log.dropped_lines() > 0 {
        tracing::warn!(
            lines = log.dropped_lines(),
            "node: log lines were dropped because the log buffer was full"
        );
    }
    Ok(())
}

async fn hold_open(servers: Vec<Server<Serving>>) {
    std::future::pending::<()>().await;
    drop(servers);
}

async fn serve_peers(
    cx: Context,
    shard_handle: ShardHandle,
) -> Result<impl Future<Output = ()> + Send + 'static, RunError> {
    let address = cx.settings.listen.peers;
    let failed = |e| RunError::new(format!("node: can't listen on {address}"), e);
    let listener = TcpListener::bind(address.get()).await.map_err(failed)?;
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let service = CellPeerServer::new(PeerService::new(cx, shard_handle));
    Ok(async move {
        let server = tonic::transport::Server::builder().add_service(service);
        if let Err(e) = server.serve_with_incoming(incoming).await {
            tracing::error!(
                "node: server for peers failed, calls of other members are no longer answered: {e}"
            );
        }
    })
}

/// Marks the node as ready once it has a configuration and has read the state of the cell.
async fn follow_readiness(cx: Context, readiness: Readiness) {
    let mut policy = cx.policy.subscribe();
    let mut cell = cx.cell.subscribe();
    let has_policy = policy.wait_for(Option::is_some).await.is_ok();
    let has_cell = cell.wait_for(|view| view.is_loaded).await.is_ok();
    if has_policy && has_cell && readiness.set(None) {
        tracing::info!("node: ready");
    }
    std::future::pending::<Duration>().await;
}
