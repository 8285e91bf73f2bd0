use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoon_platform::Endpoint;

use crate::fault::{FaultTarget, Faults};
use crate::server::ServerHandle;
use crate::store::store_api::StoreApi;
use crate::store::{StoreCalls, StoreSettings};

/// A running fake store.
#[derive(Debug)]
pub struct StoreHandle {
    server: ServerHandle,
    api: Arc<StoreApi>,
}

impl StoreHandle {
    /// Starts an empty store.
    pub async fn bind(settings: StoreSettings) -> io::Result<Self> {
        let address = settings.address;
        let api = Arc::new(StoreApi::new(settings));
        let server = ServerHandle::bind(address, api.clone().router(), target_of).await?;
        Ok(Self { server, api })
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

    /// Returns the number of calls so far.
    pub fn calls(&self) -> StoreCalls {
        self.api.calls()
    }

    /// Stops the server, closes all connections and drops all keys.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

fn target_of(path: &str) -> Option<FaultTarget> {
    let controls = matches!(path, "/faults" | "/calls");
    (!controls).then_some(FaultTarget::Store)
}
