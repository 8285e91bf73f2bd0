use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};

use crate::harness::{Answer, BoxError, Client, Ending, Route, eventually};

/// Wait for the end of a job.
const END_LIMIT: Duration = Duration::from_secs(60);
/// Tickets that are asked for at a time.
const TICKETS_PER_CALL: usize = 5;
/// Tries of a request or submission.
const TRIES: usize = 100;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);
/// Further tries after an answer that says "not known".
const REPEATS_AFTER_NOT_KNOWN: usize = 2;

/// Caller with work for one failure domain.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client,
    /// Failure domain that knows its keys.
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
    pub(crate) fn of_team(&self, team: &'static str) -> Self {
        Self {
            team,
            ..self.clone()
        }
    }

    /// Gets tickets. Each call is answered by the next shard, so that several calls spread them over the shards.
    pub(crate) async fn tickets(&self, count: usize) -> Result<Vec<String>, BoxError> {
        let mut tickets = Vec::new();
        while tickets.len() < count {
            let wanted = TICKETS_PER_CALL.min(count - tickets.len());
            let body = json!({"service": "planner", "count": wanted});
            let answer = self.post(0, "/v1/tickets", None, &body).await?;
            let issued: Vec<String> = serde_json::from_value(answer.body["tickets"].clone())
                .map_err(|e| format!("{answer:?}: {e}"))?;
            tickets.extend(issued);
        }
        Ok(tickets)
    }

    /// Sends a request once.
    pub(crate) async fn request(
        &self,
        gateway: usize,
        route: &Route,
        payload: &str,
    ) -> Result<Answer, BoxError> {
        let mut body = json!({"service": "planner", "team": self.team, "payload": payload});
        let key = match route {
            Route::Ticket(ticket) => {
                body["ticket"] = json!(ticket);
                None
            }
            Route::Key(key) => {
                body["home"] = json!(self.home);
                Some(key.as_str())
            }
            Route::Once => None,
        };
        self.post(gateway, "/v1/requests", key, &body).await
    }

    /// Sends a request until its ending is known. Each try goes to the next gateway; also after "not known", because
    /// a repeat must not run the request again.
    pub(crate) async fn request_to_end(
        &self,
        gateway: usize,
        route: &Route,
        payload: &str,
    ) -> Ending {
        let mut ending = Ending::NotKnown(0);
        let mut not_known = 0;
        for attempt in 0..TRIES {
            if let Ok(answer) = self.request(gateway + attempt, route, payload).await {
                ending = Ending::of(&answer).unwrap_or(ending);
            }
            match &ending {
                Ending::NotKnown(code) if *code != 0 => not_known += 1,
                Ending::NotKnown(_) => {}
                _ => return ending,
            }
            if not_known > REPEATS_AFTER_NOT_KNOWN {
                return ending;
            }
            tokio::time::sleep(PAUSE).await;
        }
        ending
    }

    /// Submits a job until it is accepted or refused as not run. Each try goes to the next gateway.
    pub(crate) async fn submit_to_end(
        &self,
        gateway: usize,
        key: &str,
        job: &Value,
    ) -> Result<Answer, BoxError> {
        for attempt in 0..TRIES {
            if let Ok(answer) = self.submit(gateway + attempt, key, job).await
                && (answer.status == 200 || answer.class() == Some("not_run"))
            {
                return Ok(answer);
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(format!("no gateway took {key}").into())
    }

    /// Submits a job.
    pub(crate) async fn submit(
        &self,
        gateway: usize,
        key: &str,
        job: &Value,
    ) -> Result<Answer, BoxError> {
        let mut job = job.clone();
        job["home"] = json!(self.home);
        self.post(gateway, "/v1/jobs", Some(key), &job).await
    }

    /// Reads the state of a job.
    pub(crate) async fn job(&self, gateway: usize, work: &str) -> Result<Answer, BoxError> {
        let path = format!("/v1/jobs/{work}");
        let address = self.gateway(gateway);
        self.client
            .send(&address, Method::GET, &path, None, None)
            .await
    }

    /// Cancels a job.
    pub(crate) async fn cancel(&self, gateway: usize, work: &str) -> Result<Answer, BoxError> {
        let path = format!("/v1/jobs/{work}");
        let address = self.gateway(gateway);
        self.client
            .send(&address, Method::DELETE, &path, None, None)
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
