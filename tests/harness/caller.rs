use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};

use crate::harness::{Answer, BoxError, Client, eventually};

/// Wait for the end of a job.
const END_LIMIT: Duration = Duration::from_secs(60);

/// Caller of the gateways of one failure domain.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client,
    gateways: Vec<SocketAddr>,
}

impl Caller {
    pub(crate) fn new(client: Client, gateways: Vec<SocketAddr>) -> Self {
        Self { client, gateways }
    }

    /// Gets tickets.
    pub(crate) async fn tickets(&self, count: u32) -> Result<Vec<String>, BoxError> {
        let body = json!({"service": "planner", "count": count});
        let answer = self.post(0, "/v1/tickets", None, &body).await?;
        serde_json::from_value(answer.body["tickets"].clone())
            .map_err(|e| format!("{answer:?}: {e}").into())
    }

    /// Sends a request with a ticket.
    pub(crate) async fn request(
        &self,
        gateway: usize,
        ticket: &str,
        payload: &str,
    ) -> Result<Answer, BoxError> {
        let mut body = request_body(payload);
        body["ticket"] = json!(ticket);
        self.post(gateway, "/v1/requests", None, &body).await
    }

    /// Submits a job.
    pub(crate) async fn submit(
        &self,
        gateway: usize,
        key: &str,
        job: &Value,
    ) -> Result<Answer, BoxError> {
        self.post(gateway, "/v1/jobs", Some(key), job).await
    }

    /// Reads the state of a job.
    pub(crate) async fn job(&self, gateway: usize, work: &str) -> Result<Answer, BoxError> {
        let path = format!("/v1/jobs/{work}");
        let address = self.gateway(gateway);
        self.client
            .send(&address, Method::GET, &path, None, None)
            .await
    }

    /// Waits until a job has ended and returns its result.
    pub(crate) async fn result(&self, gateway: usize, work: &str) -> Result<Value, BoxError> {
        let what = format!("{work} has ended");
        let look = || async {
            let answer = self.job(gateway, work).await.ok()?;
            let result = &answer.body["result"];
            (!result.is_null()).then(|| result.clone())
        };
        eventually(&what, END_LIMIT, look).await
    }

    async fn post(
        &self,
        gateway: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<Answer, BoxError> {
        let address = self.gateway(gateway);
        self.client
            .send(&address, Method::POST, path, key, Some(body))
            .await
    }

    /// Returns the address of a gateway; numbers beyond the last one begin again at the first.
    fn gateway(&self, number: usize) -> SocketAddr {
        self.gateways[number % self.gateways.len()]
    }
}

/// Returns a batch job.
pub(crate) fn batch(cpu: u32, run_ms: u64, payload: &str) -> Value {
    json!({
        "kind": "batch",
        "team": "settlers",
        "resources": {"cpu": cpu.to_string(), "memory": "1GiB"},
        "run_ms": run_ms,
        "payload": payload,
    })
}

/// Returns a gang job.
pub(crate) fn gang(members: u32, cpu: u32, run_ms: u64, payload: &str) -> Value {
    let mut job = batch(cpu, run_ms, payload);
    job["kind"] = json!("gang");
    job["members"] = json!(members);
    job
}

fn request_body(payload: &str) -> Value {
    json!({"service": "planner", "team": "settlers", "payload": payload})
}
