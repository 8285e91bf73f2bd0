use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_core::id::ExecutorId;
use lagoon_platform::Endpoint;

use crate::executors::ExecutorsSettings;
use crate::executors::executors_api::ExecutorsApi;
use crate::fault::{FaultTarget, Faults};
use crate::server::ServerHandle;

/// A running server with fake executors.
#[derive(Debug)]
pub struct ExecutorsHandle {
    server: ServerHandle,
    api: Arc<ExecutorsApi>,
}

impl ExecutorsHandle {
    /// Starts the server with the executors in `settings`.
    pub async fn bind(settings: ExecutorsSettings) -> io::Result<Self> {
        let api = Arc::new(ExecutorsApi::new(&settings));
        let app = api.clone().router();
        let server = ServerHandle::bind(settings.address, app, target_of).await?;
        Ok(Self { server, api })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the endpoint of an executor for clients.
    pub fn endpoint(&self, executor: &ExecutorId) -> Endpoint {
        Endpoint::from(self.address()).join(&format!("e/{executor}"))
    }

    /// Returns the fault rules of the server.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the number of runs by request, summed over all executors.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.api.runs()
    }

    /// Stops the server and closes all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn target_of(path: &str) -> Option<FaultTarget> {
    let (executor, _) = path.strip_prefix("/e/")?.split_once('/')?;
    executor.parse().ok().map(FaultTarget::Executor)
}
