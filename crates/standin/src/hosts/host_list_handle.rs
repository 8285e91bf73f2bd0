use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use lagoon_core::id::HostId;
use lagoon_platform::Endpoint;
use lagoon_platform::hosts::{HostEntry, HostState};
use tokio::time::Instant;

use crate::fault::{FaultTarget, Faults};
use crate::hosts::HostListSettings;
use crate::hosts::host_list_state::HostListState;
use crate::server::ServerHandle;
use crate::util::lock;

type Shared = Arc<Mutex<HostListState>>;

/// A running fake host list. `PUT /hosts` replaces the list.
#[derive(Debug)]
pub struct HostListHandle {
    server: ServerHandle,
    state: Shared,
}

impl HostListHandle {
    /// Starts a host list with the hosts in `settings`.
    pub async fn bind(settings: HostListSettings) -> io::Result<Self> {
        let state = HostListState::new(settings.lag.to_duration(), settings.hosts);
        let state = Arc::new(Mutex::new(state));
        let app = Router::new()
            .route("/hosts", get(show).put(replace))
            .with_state(state.clone());
        let server = ServerHandle::bind(settings.address, app, target_of).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the endpoint for clients.
    pub fn endpoint(&self) -> Endpoint {
        self.address().into()
    }

    /// Returns the fault rules of the server.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Replaces the list.
    pub fn replace(&self, hosts: Vec<HostEntry>) {
        lock(&self.state).change(Instant::now(), |list| *list = hosts);
    }

    /// Sets the state of a host. Does nothing if the host isn't listed.
    pub fn set_state(&self, host: &HostId, state: HostState) {
        lock(&self.state).change(Instant::now(), |list| {
            for entry in list.iter_mut().filter(|entry| entry.host == *host) {
                entry.state = state;
            }
        });
    }

    /// Removes a host. Does nothing if the host isn't listed.
    pub fn remove(&self, host: &HostId) {
        lock(&self.state).change(Instant::now(), |list| {
            list.retain(|entry| entry.host != *host)
        });
    }

    /// Stops the server and closes all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn show(State(state): State<Shared>) -> Json<Arc<Vec<HostEntry>>> {
    Json(lock(&state).visible(Instant::now()))
}

async fn replace(State(state): State<Shared>, Json(hosts): Json<Vec<HostEntry>>) {
    lock(&state).change(Instant::now(), |list| *list = hosts);
}

fn target_of(path: &str) -> Option<FaultTarget> {
    (path != "/faults").then_some(FaultTarget::Hosts)
}
