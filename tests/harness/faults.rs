use hyper::Method;
use lagoon_platform::Endpoint;
use lagoon_standin::fault::{FaultMode, FaultRequest, FaultRule, FaultTarget};

use crate::harness::{BoxError, Client};

/// Fault switches of one server of the fake platform.
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

    /// Applies a fault to every caller.
    pub(crate) async fn set(&self, mode: FaultMode) -> Result<(), BoxError> {
        let rule = FaultRule::new(self.target.clone(), mode);
        self.post(FaultRequest::Add(rule)).await
    }

    /// Applies a fault to the calls of one process.
    pub(crate) async fn set_for(&self, process: &str, mode: FaultMode) -> Result<(), BoxError> {
        let rule = FaultRule::new(self.target.clone(), mode).from_process(process.parse()?);
        self.post(FaultRequest::Add(rule)).await
    }

    /// Ends all faults of the target.
    pub(crate) async fn clear(&self) -> Result<(), BoxError> {
        self.post(FaultRequest::Clear(self.target.clone())).await
    }

    async fn post(&self, req: FaultRequest) -> Result<(), BoxError> {
        let body = serde_json::to_value(req)?;
        let answer = self
            .client
            .send(self.server, Method::POST, "/faults", None, Some(&body))
            .await?;
        match answer.status {
            200 => Ok(()),
            status => Err(format!("the fault was answered {status}").into()),
        }
    }
}
