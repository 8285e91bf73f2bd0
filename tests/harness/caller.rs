use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};

use crate::harness::{BoxError, Client, Deduplication, Outcome, Response, eventually};

const JOB_TIMEOUT: Duration = Duration::from_secs(60);
/// Tickets requested per call.
const TICKETS_PER_CALL: usize = 5;
const MAX_ATTEMPTS: usize = 100;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Further attempts after a response of class `not_known`.
const RETRIES_AFTER_NOT_KNOWN: usize = 2;

/// Caller that sends work of one failure domain to gateways.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client,
    /// Home failure domain of its keys and jobs.
    home: &'static str,
    gateways: Vec<SocketAddr>,
    /// Team of its requests.
    team: &'static str,
}

impl Caller {
    pub(crate) fn new(client: Client, home: &'static str, gateways: Vec<SocketAddr>) -> Self {
        Self {
            client,
            home,
            gateways,
            team: "settlers",
        }
    }

    /// Returns a caller of another team.
    pub(crate) fn with_team(&self, team: &'static str) -> Self {
        Self {
            team,
            ..self.clone()
        }
    }

    /// Fetches tickets. Shards issue them in turn, so several calls spread the tickets over the shards.
    pub(crate) async fn tickets(&self, count: usize) -> Result<Vec<String>, BoxError> {
        let mut tickets = Vec::new();
        while tickets.len() < count {
            let batch_size = TICKETS_PER_CALL.min(count - tickets.len());
            let body = json!({"service": "planner", "count": batch_size});
            let response = self.post(0, "/v1/tickets", None, &body).await?;
            let issued: Vec<String> = serde_json::from_value(response.body["tickets"].clone())
                .map_err(|e| format!("{response:?}: {e}"))?;
            tickets.extend(issued);
        }
        Ok(tickets)
    }

    /// Sends a request once.
    pub(crate) async fn request(
        &self,
        gateway: usize,
        dedup: &Deduplication,
        payload: &str,
    ) -> Result<Response, BoxError> {
        let mut body = json!({"service": "planner", "team": self.team, "payload": payload});
        let key = match dedup {
            Deduplication::Ticket(ticket) => {
                body["ticket"] = json!(ticket);
                None
            }
            Deduplication::Key(key) => {
                body["home"] = json!(self.home);
                Some(key.as_str())
            }
            Deduplication::None => None,
        };
        self.post(gateway, "/v1/requests", key, &body).await
    }

    /// Sends a request until its outcome is known, each attempt to the next gateway. Also retries after `not_known`,
    /// to check that a repeat does not run the request again.
    pub(crate) async fn request_with_retries(
        &self,
        gateway: usize,
        dedup: &Deduplication,
        payload: &str,
    ) -> Outcome {
        let mut outcome = Outcome::NotKnown(0);
        let mut not_known_count = 0;
        for attempt in 0..MAX_ATTEMPTS {
            if let Ok(response) = self.request(gateway + attempt, dedup, payload).await {
                outcome = Outcome::from_response(&response).unwrap_or(outcome);
            }
            match &outcome {
                Outcome::NotKnown(code) if *code != 0 => not_known_count += 1,
                Outcome::NotKnown(_) => {}
                _ => return outcome,
            }
            if not_known_count > RETRIES_AFTER_NOT_KNOWN {
                return outcome;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        outcome
    }

    /// Submits a job until it is accepted or refused as `not_run`, each attempt to the next gateway.
    pub(crate) async fn submit_with_retries(
        &self,
        gateway: usize,
        key: &str,
        job: &Value,
    ) -> Result<Response, BoxError> {
        for attempt in 0..MAX_ATTEMPTS {
            if let Ok(response) = self.submit(gateway + attempt, key, job).await
                && (response.status == 200 || response.class() == Some("not_run"))
            {
                return Ok(response);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(format!("no gateway accepted or refused job {key} in {MAX_ATTEMPTS} attempts").into())
    }

    /// Submits a job once.
    pub(crate) async fn submit(
        &self,
        gateway: usize,
        key: &str,
        job: &Value,
    ) -> Result<Response, BoxError> {
        let mut job = job.clone();
        job["home"] = json!(self.home);
        self.post(gateway, "/v1/jobs", Some(key), &job).await
    }

    /// Reads the state of a job once.
    pub(crate) async fn job(&self, gateway: usize, work: &str) -> Result<Response, BoxError> {
        let path = format!("/v1/jobs/{work}");
        let address = self.gateway(gateway);
        self.client
            .send(&address, Method::GET, &path, None, None)
            .await
    }

    /// Cancels a job once.
    pub(crate) async fn cancel(&self, gateway: usize, work: &str) -> Result<Response, BoxError> {
        let path = format!("/v1/jobs/{work}");
        let address = self.gateway(gateway);
        self.client
            .send(&address, Method::DELETE, &path, None, None)
            .await
    }

    /// Waits until a job has ended and returns its result.
    pub(crate) async fn wait_for_result(
        &self,
        gateway: usize,
        work: &str,
    ) -> Result<Value, BoxError> {
        let what = format!("{work} has ended");
        let poll = || async {
            let response = self.job(gateway, work).await.ok()?;
            let result = &response.body["result"];
            (!result.is_null()).then(|| result.clone())
        };
        eventually(&what, JOB_TIMEOUT, poll).await
    }

    async fn post(
        &self,
        gateway: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<Response, BoxError> {
        let address = self.gateway(gateway);
        self.client
            .send(&address, Method::POST, path, key, Some(body))
            .await
    }

    /// Returns the address of gateway `number`, counted modulo the number of gateways.
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
pub(crate) fn gang(tasks: u32, cpu: u32, run_ms: u64, payload: &str) -> Value {
    let mut job = batch(cpu, run_ms, payload);
    job["kind"] = json!("gang");
    job["members"] = json!(tasks);
    job
}
