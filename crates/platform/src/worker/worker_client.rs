use hyper::Method;
use lagoon_core::id::TaskId;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::PlatformError;
use crate::transport::{Call, Endpoint, Response, Transport};
use crate::worker::{
    AcknowledgeRequest, AcknowledgeResponse, CheckpointResponse, ControlResponse, FenceResponse,
    LeaseOutcome, LeaseRequest, ReleaseRequest, ReleaseResponse, ShardEpoch, StartOutcome,
    StartRequest, StartResponse, ThrottleRequest,
};

/// Client of a worker.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    endpoint: Endpoint,
    transport: Transport,
}

impl WorkerClient {
    /// Returns a client of the worker at `endpoint`.
    pub fn new(endpoint: Endpoint, transport: Transport) -> Self {
        Self {
            endpoint,
            transport,
        }
    }

    /// Returns the address of the worker.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Acquires or renews the lease.
    pub async fn lease(&self, req: &LeaseRequest) -> Result<LeaseOutcome, PlatformError> {
        let response = self.send(Method::POST, "/lease", req).await?;
        match response.status {
            409 => response.json().map(LeaseOutcome::Refused),
            _ => response.success().map(LeaseOutcome::Granted),
        }
    }

    /// Releases the lease. Returns false if the caller did not hold it.
    pub async fn release(&self, req: &ReleaseRequest) -> Result<bool, PlatformError> {
        let response = self.send(Method::DELETE, "/lease", req).await?;
        let ReleaseResponse { released } = response.success()?;
        Ok(released)
    }

    /// Starts a task, unless it exists on the worker already.
    pub async fn start(&self, req: &StartRequest) -> Result<StartOutcome, PlatformError> {
        let response = self.send(Method::POST, "/tasks", req).await?;
        if matches!(response.status, 409 | 424 | 507) {
            return response.json().map(StartOutcome::Refused);
        }
        let StartResponse {
            already_known,
            state,
        } = response.success()?;
        Ok(match already_known {
            true => StartOutcome::AlreadyKnown(state),
            false => StartOutcome::Started,
        })
    }

    /// Stops a task. A task that the worker doesn't know yet is blocked from starting later.
    pub async fn stop(
        &self,
        task: &TaskId,
        req: &ShardEpoch,
    ) -> Result<ControlResponse, PlatformError> {
        self.control(task, "stop", req).await
    }

    /// Limits the CPU usage of a running task.
    pub async fn throttle(
        &self,
        task: &TaskId,
        req: &ThrottleRequest,
    ) -> Result<ControlResponse, PlatformError> {
        self.control(task, "throttle", req).await
    }

    /// Writes a checkpoint of a running task.
    pub async fn checkpoint(
        &self,
        task: &TaskId,
        req: &ShardEpoch,
    ) -> Result<CheckpointResponse, PlatformError> {
        self.control(task, "checkpoint", req).await
    }

    /// Makes the worker refuse requests of earlier owners of a shard, and lists the shard's tasks. Requires no lease.
    pub async fn fence(&self, req: &ShardEpoch) -> Result<FenceResponse, PlatformError> {
        self.send(Method::POST, "/tasks/fence", req)
            .await?
            .success()
    }

    /// Acknowledges ended tasks, so that the worker can remove them.
    pub async fn acknowledge(
        &self,
        req: &AcknowledgeRequest,
    ) -> Result<AcknowledgeResponse, PlatformError> {
        let response = self.send(Method::POST, "/tasks/acknowledge", req).await?;
        response.success()
    }

    async fn control<T: DeserializeOwned>(
        &self,
        task: &TaskId,
        verb: &str,
        req: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let target = format!("/tasks/{task}/{verb}");
        self.send(Method::POST, &target, req).await?.success()
    }

    async fn send(
        &self,
        method: Method,
        target: &str,
        body: &impl Serialize,
    ) -> Result<Response, PlatformError> {
        let call = Call::new(method, &self.endpoint, target).json(body);
        self.transport.send(call).await
    }
}
