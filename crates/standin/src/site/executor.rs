use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::server::ServerHandle;
use crate::site::executor_api::{self, Shared, lock};
use crate::site::executor_state::ExecutorState;
use crate::site::run_log::RunLog;

/// One executor with its server.
#[derive(Debug)]
pub(super) struct Executor {
    state: Shared,
    server: ServerHandle,
    cpu: u64,
}

impl Executor {
    /// Starts an executor; with port 0 the system chooses one.
    pub(super) async fn spawn(
        id: &str,
        born: u64,
        cpu: u64,
        log: RunLog,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(ExecutorState::new(id, born, cpu, log)));
        let router = executor_api::router(state.clone());
        let server = ServerHandle::bind(address, router, |_| None).await?;
        Ok(Self { state, server, cpu })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what the executor writes of itself.
    pub(super) fn entry(&self) -> Value {
        json!({
            "service": "service",
            "address": self.address().to_string(),
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "labels": ["a", "r1"],
            "born": lock(&self.state).born,
            "sequence": 1,
        })
    }

    /// Ends what runs and closes all connections, as when the process dies.
    pub(super) async fn crash(self) {
        lock(&self.state).crash();
        self.server.stop().await;
    }
}
