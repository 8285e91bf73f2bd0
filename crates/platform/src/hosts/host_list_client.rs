use hyper::Method;

use crate::error::PlatformError;
use crate::hosts::HostEntry;
use crate::transport::{Call, Endpoint, Transport};

/// Client of the host list.
#[derive(Debug, Clone)]
pub struct HostListClient {
    endpoint: Endpoint,
    transport: Transport,
}

impl HostListClient {
    /// Returns a client of the host list at `endpoint`.
    pub fn new(endpoint: Endpoint, transport: Transport) -> Self {
        Self {
            endpoint,
            transport,
        }
    }

    /// Returns the host list, which may lag behind the actual state of the hosts.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let call = Call::new(Method::GET, &self.endpoint, "/hosts");
        self.transport.send(call).await?.success()
    }
}
