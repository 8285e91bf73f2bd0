use std::sync::Arc;

use hyper::Method;
use tokio::sync::Semaphore;

use crate::error::{ErrorKind, PlatformError};
use crate::executor::{RunRequest, StatusResponse};
use crate::transport::{Call, Endpoint, Response, Transport};

/// Client of an executor with a limit on concurrent calls, which clones share.
///
/// The transport may keep up to `idle_connections` more connections open between calls.
#[derive(Debug, Clone)]
pub struct ExecutorClient {
    endpoint: Endpoint,
    transport: Transport,
    permits: Arc<Semaphore>,
}

impl ExecutorClient {
    /// Returns a client of the executor at `endpoint` that has at most `connections` calls open at a time.
    pub fn new(endpoint: Endpoint, transport: Transport, connections: usize) -> Self {
        Self {
            endpoint,
            transport,
            permits: Arc::new(Semaphore::new(connections)),
        }
    }

    /// Runs a request and returns its output.
    ///
    /// An error with status 503 means that all slots were in use and the request did not run.
    pub async fn run(&self, req: &RunRequest) -> Result<String, PlatformError> {
        let call = Call::new(Method::POST, &self.endpoint, "/run").json(req);
        let response = self.send(call).await?;
        match response.status {
            200 => response.text(),
            _ => Err(response.refusal()),
        }
    }

    /// Returns the number of slots and how many are in use.
    pub async fn status(&self) -> Result<StatusResponse, PlatformError> {
        let call = Call::new(Method::GET, &self.endpoint, "/status");
        self.send(call).await?.success()
    }

    async fn send(&self, call: Call) -> Result<Response, PlatformError> {
        let limit = self.transport.settings().request_timeout.to_duration();
        let unsent = ErrorKind::Timeout { sent: false };
        let Ok(permit) = tokio::time::timeout(limit, self.permits.acquire()).await else {
            return Err(PlatformError::new(call.describe(), unsent));
        };
        let _permit = permit.expect("the semaphore is never closed");
        self.transport.send(call).await
    }
}
