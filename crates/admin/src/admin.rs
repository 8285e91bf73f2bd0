use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::unit::Millis;
use lagoon_platform::{ClientSettings, StoreClient, Transport};
use lagoon_process::health::{self, Readiness};
use lagoon_process::server::{Limits, Server, Serving};
use lagoon_process::shutdown::{Signal, Trigger};
use lagoon_process::{Clock, Metrics, RunError, Sharded};
use lagoon_wire::v1;
use tokio::task::JoinHandle;

use crate::api::{self, ApiState};
use crate::audit::AuditWriter;
use crate::auth::Authenticator;
use crate::change::{Applier, Planner, PolicyStore};
use crate::query::QueryRunner;
use crate::schedulers::{Channels, Heartbeats, MemberTable, SchedulerPool};
use crate::settings::AdminSettings;

/// Role of this process in heartbeats.
const ROLE: &str = "admin";
/// Shutdown timeout; applies to requests in flight and then again to the audit writer.
const STOP_TIMEOUT: Millis = Millis::new(10_000);

/// A running admin process.
#[derive(Debug)]
pub struct Admin {
    server: Server<Serving>,
    readiness: Readiness,
    stop_trigger: Trigger,
    heartbeats: JoinHandle<()>,
    writer: JoinHandle<()>,
}

impl Admin {
    /// Binds the address, serves the API and starts sending heartbeats to discover schedulers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address or the metrics socket can't be opened.
    pub async fn bind(settings: AdminSettings, clock: Clock) -> Result<Self, RunError> {
        let metrics = Metrics::start(&settings.metrics)?;
        let readiness = Readiness::not_ready("no scheduler has answered yet");
        let limits = Limits {
            max_body: settings.max_body,
            read_timeout: settings.read_timeout,
            ..Limits::default()
        };
        let server = Server::bind(settings.listen, limits)
            .await?
            .with_metrics(metrics.clone());
        let store = store_client(&settings);
        let policy = PolicyStore::new(store.clone());
        let (writer, audit) = AuditWriter::new(store, settings.audit);
        let schedulers = schedulers(&settings, clock);
        let planner = Planner {
            schedulers: schedulers.clone(),
            policy: policy.clone(),
            count_limit: settings.count_limit,
            clock,
        };
        let (stop_trigger, stop_signal) = Signal::manual();
        let heartbeats = Heartbeats {
            sender: member(&settings, server.address()),
            schedulers: schedulers.clone(),
            readiness: readiness.clone(),
        };
        let process = settings.process;
        let applier = Applier::new(process.clone(), planner.clone(), audit.clone());
        let api = ApiState {
            operators: Authenticator::new(settings.operators),
            queries: QueryRunner {
                process: process.clone(),
                schedulers,
                policy,
                audit,
                clock,
            },
            planner,
            applier: Arc::new(applier),
        };
        let router = api::router(Arc::new(api))
            .merge(health::router(&readiness))
            .merge(metrics.router());
        let server = server.serve(router);
        tracing::info!("admin: {process} listens on {}", server.address());
        Ok(Self {
            server,
            readiness,
            stop_trigger,
            heartbeats: tokio::spawn(heartbeats.run(stop_signal)),
            writer: tokio::spawn(writer.run()),
        })
    }

    /// Returns the address of the API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the readiness of the process. It is ready once a scheduler has answered a heartbeat.
    pub fn readiness(&self) -> &Readiness {
        &self.readiness
    }

    /// Finishes the requests in flight, then writes the pending audit records. Returns true if all requests were answered
    /// in time.
    pub async fn stop(self) -> bool {
        self.readiness.set(Some("stopping".to_owned()));
        let finished = self.server.drain().stopped(STOP_TIMEOUT).await;
        self.stop_trigger.fire();
        let _ = self.heartbeats.await;
        // The server held the last `AuditLog` handle, so the writer task ends.
        let written = tokio::time::timeout(STOP_TIMEOUT.to_duration(), self.writer).await;
        if written.is_err() {
            tracing::error!(
                "admin: audit writer did not finish within {STOP_TIMEOUT}; pending records may be lost"
            );
        }
        tracing::info!("admin: stopped");
        finished
    }
}

fn store_client(settings: &AdminSettings) -> StoreClient {
    let client = ClientSettings {
        process: Some(settings.process.clone()),
        ..ClientSettings::default()
    };
    StoreClient::new(settings.store.get().into(), Transport::new(client))
}

fn schedulers(settings: &AdminSettings, clock: Clock) -> SchedulerPool {
    let seeds = settings.schedulers.iter().map(|seed| seed.get()).collect();
    SchedulerPool {
        members: Arc::new(MemberTable::new(seeds, clock.now())),
        channels: Arc::new(Channels::new()),
        last_reports: Arc::new(Sharded::new()),
        clock,
        ask_timeout: settings.ask_timeout,
    }
}

fn member(settings: &AdminSettings, address: SocketAddr) -> v1::Member {
    v1::Member {
        process: settings.process.to_string(),
        role: ROLE.to_owned(),
        domain: settings.failure_domain.to_string(),
        address: address.to_string(),
        ..Default::default()
    }
}
