use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::unit::Millis;
use lagoon_process::health::{self, Readiness};
use lagoon_process::server::{Limits, Server, Serving};
use lagoon_process::shutdown::{Signal, Trigger};
use lagoon_process::{Clock, Metrics, RunError};
use tokio::task::JoinHandle;

use crate::access::AccessList;
use crate::api::{self, Api};
use crate::forward::{Channels, Forwarder};
use crate::limit::{InFlightLimiter, limit_requests};
use crate::routing::{Heartbeats, HomeResolver, Members, RoutingTable};
use crate::settings::GatewaySettings;

/// Time to write the response, in addition to the request timeout.
const RESPONSE_GRACE: Millis = Millis::new(1_000);

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    server: Server<Serving>,
    readiness: Readiness,
    stopping: Trigger,
    ended: Trigger,
    heartbeats: JoinHandle<()>,
    drain_wait: Millis,
    max_request_time: Millis,
}

impl Gateway {
    /// Binds the address, serves the API and starts to send heartbeats to the schedulers.
    ///
    /// # Errors
    ///
    /// If the address or the metrics socket can't be opened.
    pub async fn bind(settings: GatewaySettings, clock: Clock) -> Result<Self, RunError> {
        let metrics = Metrics::start(&settings.metrics)?;
        let readiness = Readiness::not_ready("no scheduler has answered yet");
        let limits = Limits {
            max_body: settings.max_body,
            read_timeout: settings.read_timeout,
            max_connections: settings.max_connections,
            request_memory: settings.request_memory,
        };
        let server = Server::bind(settings.listen, limits)
            .await?
            .with_metrics(metrics.clone());
        let table = Arc::new(RoutingTable::new());
        let seeds = settings.schedulers.iter().map(|seed| seed.get()).collect();
        let in_flight = InFlightLimiter::new(
            settings.max_in_flight,
            settings.team_in_flight_share,
            metrics.clone(),
        );
        let (stopping, stopping_signal) = Signal::manual();
        let (ended, ended_signal) = Signal::manual();
        let heartbeats = Heartbeats {
            process: settings.process.clone(),
            domain: settings.failure_domain.clone(),
            shards: settings.shards,
            address: server.address(),
            members: Arc::new(Members::new(seeds, clock.now())),
            table: table.clone(),
            channels: Arc::new(Channels::new()),
            readiness: readiness.clone(),
            clock,
            metrics: metrics.clone(),
            in_flight: in_flight.clone(),
            stopping: stopping_signal,
        };
        let home_resolver = HomeResolver {
            default_home: settings.default_home.clone(),
            shards: settings.shards,
            table: table.clone(),
        };
        let forwarder = Forwarder {
            domain: settings.failure_domain.clone(),
            table,
            channels: Channels::new(),
            clock,
            metrics: metrics.clone(),
        };
        let api = Api {
            domain: settings.failure_domain.clone(),
            shards: settings.shards,
            home_resolver,
            access: AccessList::new(settings.tokens.as_deref()),
            forwarder,
            in_flight: in_flight.clone(),
            request_timeout: settings.request_timeout,
            clock,
            metrics: metrics.clone(),
        };
        let router = api::router(Arc::new(api))
            .merge(health::router(&readiness))
            .merge(metrics.router());
        let server =
            server.serve_with_layers(router, |router| limit_requests(router, in_flight, limits));
        tracing::info!(
            "gateway: {} listens on {}",
            settings.process,
            server.address()
        );
        Ok(Self {
            server,
            readiness,
            stopping,
            ended,
            heartbeats: tokio::spawn(heartbeats.run(ended_signal)),
            drain_wait: settings.drain_wait,
            max_request_time: settings.request_timeout.saturating_add(RESPONSE_GRACE),
        })
    }

    /// Returns the address of the API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the readiness, which depends on the state of the schedulers.
    pub fn readiness(&self) -> &Readiness {
        &self.readiness
    }

    /// Stops gracefully: reports not ready, refuses new connections after the drain wait, and finishes requests in
    /// flight. Returns true if all of them were answered.
    pub async fn stop(self) -> bool {
        tracing::info!("gateway: not ready: stopping");
        self.stopping.fire();
        self.readiness.set(Some("stopping".to_owned()));
        tokio::time::sleep(self.drain_wait.to_duration()).await;
        let finished = self.server.drain().stopped(self.max_request_time).await;
        self.ended.fire();
        let _ = self.heartbeats.await;
        tracing::info!("gateway: stopped");
        finished
    }
}
