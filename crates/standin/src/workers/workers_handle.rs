use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::id::WorkerId;
use lagoon_platform::Endpoint;

use crate::fault::{FaultTarget, Faults};
use crate::server::ServerHandle;
use crate::workers::worker_state::WorkerState;
use crate::workers::workers_api::WorkersApi;
use crate::workers::{ViolationsAnswer, WorkersSettings};

/// Running server with fake workers.
#[derive(Debug)]
pub struct WorkersHandle {
    server: ServerHandle,
    api: Arc<WorkersApi>,
}

impl WorkersHandle {
    /// Starts the workers of the settings, without leases and tasks.
    pub async fn bind(settings: WorkersSettings) -> io::Result<Self> {
        let api = Arc::new(WorkersApi::new(&settings));
        let app = api.clone().router();
        let server = ServerHandle::bind(settings.address, app, target_of).await?;
        Ok(Self { server, api })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of one worker for clients.
    pub fn endpoint(&self, worker: &WorkerId) -> Endpoint {
        Endpoint::from(self.address()).join(&format!("w/{worker}"))
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns what the scheduler must never have done.
    pub fn violations(&self) -> ViolationsAnswer {
        self.api.violations.answer()
    }

    /// Ends a worker: its tasks are gone and it closes every connection. False if there is no such worker.
    pub fn crash(&self, worker: &WorkerId) -> bool {
        self.api.change(worker, WorkerState::crash).is_success()
    }

    /// Starts a crashed worker as a new incarnation. False if there is no such worker.
    pub fn restart(&self, worker: &WorkerId) -> bool {
        self.api.change(worker, WorkerState::restart).is_success()
    }

    /// Closes all connections; all tasks are gone.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn target_of(path: &str) -> Option<FaultTarget> {
    let (worker, _) = path.strip_prefix("/w/")?.split_once('/')?;
    worker.parse().ok().map(FaultTarget::Worker)
}
