use std::net::SocketAddr;

use crate::executors::ExecutorSettings;

/// Settings of a server with fake executors.
#[derive(Debug, Clone)]
pub struct ExecutorsSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Executors to serve.
    pub executors: Vec<ExecutorSettings>,
}

impl Default for ExecutorsSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            executors: Vec::new(),
        }
    }
}
