use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::id::WorkerId;
use lagoon_platform::Endpoint;

use crate::fault::{FaultTarget, Faults};
use crate::server::ServerHandle;
use crate::workers::worker_state::WorkerState;
use crate::workers::workers_api::WorkersApi;
use crate::workers::{ViolationsResponse, WorkersSettings};

/// A running server with fake workers.
#[derive(Debug)]
pub struct WorkersHandle {
    server: ServerHandle,
    api: Arc<WorkersApi>,
}

impl WorkersHandle {
    /// Starts the server with the workers in `settings`, without leases and tasks.
    pub async fn bind(settings: WorkersSettings) -> io::Result<Self> {
        let api = Arc::new(WorkersApi::new(&settings));
        let app = api.clone().router();
        let server = ServerHandle::bind(settings.address, app, target_of).await?;
        Ok(Self { server, api })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the endpoint of a worker for clients.
    pub fn endpoint(&self, worker: &WorkerId) -> Endpoint {
        Endpoint::from(self.address()).join(&format!("w/{worker}"))
    }

    /// Returns the fault rules of the server.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns all violations of the scheduler's safety properties so far.
    pub fn violations(&self) -> ViolationsResponse {
        self.api.violations.snapshot()
    }

    /// Crashes a worker: drops its tasks and makes it unreachable. Returns false if there is no such worker.
    pub fn crash(&self, worker: &WorkerId) -> bool {
        self.api.change(worker, WorkerState::crash).is_success()
    }

    /// Restarts a crashed worker as a new incarnation. Returns false if there is no such worker.
    pub fn restart(&self, worker: &WorkerId) -> bool {
        self.api.change(worker, WorkerState::restart).is_success()
    }

    /// Stops the server, closes all connections and drops all tasks.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn target_of(path: &str) -> Option<FaultTarget> {
    let (worker, _) = path.strip_prefix("/w/")?.split_once('/')?;
    worker.parse().ok().map(FaultTarget::Worker)
}
