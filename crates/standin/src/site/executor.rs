use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::site::executor_api::{self, Shared, lock};
use crate::site::executor_state::ExecutorState;
use crate::site::listener::Listener;
use crate::site::run_log::RunLog;

/// One executor with its server.
#[derive(Debug)]
pub(super) struct Executor {
    state: Shared,
    listener: Listener,
    cpu: u64,
}

impl Executor {
    pub(super) async fn spawn(id: &str, born: u64, cpu: u64, log: RunLog) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(ExecutorState::new(id, born, cpu, log)));
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = Listener::bind(any, executor_api::router(state.clone())).await?;
        Ok(Self {
            state,
            listener,
            cpu,
        })
    }

    /// Returns what the executor writes of itself.
    pub(super) fn entry(&self) -> Value {
        json!({
            "service": "service",
            "address": self.listener.address.to_string(),
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

    /// Ends what runs, as when the process dies.
    pub(super) fn crash(self) {
        lock(&self.state).crash();
    }
}
