use hyper::Method;
use lagoon_platform::Endpoint;
use lagoon_standin::fault::{FaultMode, FaultRequest, FaultRule, FaultTarget};

use crate::harness::{BoxError, Client};

/// Fault injection into one server of the simulated platform.
#[derive(Debug)]
pub(crate) struct Faults<'a> {
    client: &'a Client,
    server: &'a Endpoint,
    target: FaultTarget,
}

impl<'a> Faults<'a> {
    pub(crate) fn new(client: &'a Client, server: &'a Endpoint, target: FaultTarget) -> Self {
        Self {
            client,
            server,
            target,
        }
    }

    /// Injects a fault into the calls of all processes.
    pub(crate) async fn set(&self, mode: FaultMode) -> Result<(), BoxError> {
        let rule = FaultRule::new(self.target.clone(), mode);
        self.post(FaultRequest::Add(rule)).await
    }

    /// Injects a fault into the calls of one process.
    pub(crate) async fn set_for_process(
        &self,
        process: &str,
        mode: FaultMode,
    ) -> Result<(), BoxError> {
        let rule = FaultRule::new(self.target.clone(), mode).from_process(process.parse()?);
        self.post(FaultRequest::Add(rule)).await
    }

    /// Removes all faults of the target.
    pub(crate) async fn clear(&self) -> Result<(), BoxError> {
        self.post(FaultRequest::Clear(self.target.clone())).await
    }

    async fn post(&self, req: FaultRequest) -> Result<(), BoxError> {
        let body = serde_json::to_value(req)?;
        let response = self
            .client
            .send(self.server, Method::POST, "/faults", None, Some(&body))
            .await?;
        match response.status {
            200 => Ok(()),
            status => Err(format!("POST /faults returned status {status}").into()),
        }
    }
}
