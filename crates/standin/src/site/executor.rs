use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::server::ServerHandle;
use crate::site::executor_api::{self, SharedState, lock};
use crate::site::executor_state::ExecutorState;
use crate::site::run_log::RunLog;

/// A fake executor and its server.
#[derive(Debug)]
pub(super) struct Executor {
    state: SharedState,
    server: ServerHandle,
    cpu: u64,
    kind: String,
}

impl Executor {
    /// Starts an executor. With port 0 the system assigns a port.
    pub(super) async fn spawn(
        id: &str,
        incarnation: u64,
        cpu: u64,
        kind: &str,
        log: RunLog,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(ExecutorState::new(id, incarnation, cpu, log)));
        let router = executor_api::router(state.clone());
        let server = ServerHandle::bind(address, router, |_| None).await?;
        Ok(Self {
            state,
            server,
            cpu,
            kind: kind.to_owned(),
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub(super) fn fence(&self) -> u64 {
        lock(&self.state).fence()
    }

    /// Returns the entry that the executor registers in the store.
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
            "labels": [self.kind, "r1"],
            "born": lock(&self.state).incarnation,
            "sequence": 1,
        })
    }

    /// Ends all runs and closes all connections, like a crash of the process.
    pub(super) async fn crash(self) {
        lock(&self.state).crash();
        self.server.stop().await;
    }
}
