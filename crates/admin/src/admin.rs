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

use crate::access::Operators;
use crate::api::{self, Api};
use crate::audit::Writer;
use crate::change::{Applier, Planner, PolicyStore};
use crate::fleet::{Channels, Fleet, Heartbeats, MemberTable};
use crate::query::Queries;
use crate::settings::AdminSettings;

/// Role in heartbeats.
const ROLE: &str = "admin";
/// Longest wait for requests in flight, and again for the audit trail, when the process stops.
const STOP_WITHIN: Millis = Millis::new(10_000);

/// Running admin process.
#[derive(Debug)]
pub struct Admin {
    server: Server<Serving>,
    readiness: Readiness,
    ended: Trigger,
    heartbeats: JoinHandle<()>,
    writer: JoinHandle<()>,
}

impl Admin {
    /// Binds the address, serves the API and starts to look for schedulers.
    ///
    /// # Errors
    ///
    /// When the address or the metrics socket can't be opened.
    pub async fn bind(settings: AdminSettings, clock: Clock) -> Result<Self, RunError> {
        let metrics = Metrics::start(&settings.metrics)?;
        let readiness = Readiness::not_ready("no scheduler has answered yet");
        let limits = Limits {
            max_body: settings.max_body,
            read_timeout: settings.read_timeout,
        };
        let server = Server::bind(settings.listen, limits).await?;
        let store = store_client(&settings);
        let policy = PolicyStore::new(store.clone());
        let (writer, audit) = Writer::new(store, settings.audit);
        let fleet = fleet(&settings, clock);
        let planner = Planner {
            fleet: fleet.clone(),
            policy: policy.clone(),
            count_limit: settings.count_limit,
            clock,
        };
        let (ended, is_ended) = Signal::manual();
        let heartbeats = Heartbeats {
            sender: member(&settings, server.address()),
            fleet: fleet.clone(),
            readiness: readiness.clone(),
        };
        let process = settings.process;
        let applier = Applier::new(process.clone(), planner.clone(), audit.clone());
        let api = Api {
            operators: Operators::new(settings.operators),
            queries: Queries {
                process: process.clone(),
                fleet,
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
            ended,
            heartbeats: tokio::spawn(heartbeats.run(is_ended)),
            writer: tokio::spawn(writer.run()),
        })
    }

    /// Returns the address of the API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the readiness: ready once a scheduler has answered.
    pub fn readiness(&self) -> &Readiness {
        &self.readiness
    }

    /// Answers the requests in flight, then writes the audit records that wait. Returns whether all requests were
    /// answered.
    pub async fn stop(self) -> bool {
        self.readiness.set(Some("stopping".to_owned()));
        let finished = self.server.drain().stopped(STOP_WITHIN).await;
        self.ended.fire();
        let _ = self.heartbeats.await;
        // The last handle to the trail is gone with the server, so its task ends.
        let written = tokio::time::timeout(STOP_WITHIN.to_duration(), self.writer).await;
        if written.is_err() {
            tracing::error!("admin: the audit trail was not written to its end");
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

fn fleet(settings: &AdminSettings, clock: Clock) -> Fleet {
    let seeds = settings.schedulers.iter().map(|seed| seed.get()).collect();
    Fleet {
        members: Arc::new(MemberTable::new(seeds, clock.now())),
        channels: Arc::new(Channels::new()),
        latest: Arc::new(Sharded::new()),
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
