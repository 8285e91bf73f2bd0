use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lagoon_standin::site::SiteClient;
use serde_json::json;
use tokio::time::Instant;

/// Pause between attempts of a submission or cancellation.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Attempts of a submission or cancellation, each at the next node.
const ATTEMPTS: usize = 30;

/// A job and the responses to its submission and cancellation.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: String,
    pub(crate) path: String,
    pub(crate) tasks: usize,
    pub(crate) gang: bool,
    /// True if an attempt was accepted.
    pub(crate) accepted: bool,
    /// True if every attempt was refused with a status that guarantees that the job never runs.
    pub(crate) refused: bool,
    /// When the cancellation was acknowledged.
    pub(crate) cancelled: Option<Instant>,
    /// True if a cancellation is sent once the job is accepted.
    pub(crate) may_be_cancelled: bool,
}

/// Calls nodes over connections that are kept open while the node runs.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: SiteClient,
    nodes: Vec<SocketAddr>,
}

impl Caller {
    pub(crate) fn new(nodes: Vec<SocketAddr>) -> Self {
        Self {
            client: SiteClient::default(),
            nodes,
        }
    }

    /// Submits job `number` until it is accepted, and then cancels it if `cancel` is true.
    pub(crate) async fn submit(self, number: u64, cancel: bool) -> Job {
        let id = format!("{number:016x}");
        let gang = number.is_multiple_of(4);
        let queue = if number.is_multiple_of(3) {
            "advised"
        } else {
            "plain"
        };
        let tasks = 1 + (number % 3) as usize;
        let mut job = Job {
            path: format!("/{queue}/{id}"),
            id,
            tasks,
            gang,
            accepted: false,
            refused: true,
            cancelled: None,
            may_be_cancelled: cancel,
        };
        let run_ms = 150 + number % 7 * 150;
        let steps = json!([{"count": tasks, "cpu": 1000, "gang": gang, "checkpoint": true}]);
        let body = json!({"spec": format!("ms={run_ms}"), "steps": steps});
        for attempt in 0..ATTEMPTS {
            let node = (number as usize + attempt) % self.nodes.len();
            let (status, _) = self
                .client
                .call(self.nodes[node], Method::POST, &job.path, Some(&body))
                .await;
            match status {
                200 => {
                    job.accepted = true;
                    job.refused = false;
                    break;
                }
                // Guarantees that the job never runs only if no other attempt may have been stored.
                429 | 503 => {}
                _ => job.refused = false,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if cancel && job.accepted {
            self.cancel(&mut job).await;
        }
        job
    }

    async fn cancel(&self, job: &mut Job) {
        for node in 0..ATTEMPTS {
            let node = node % self.nodes.len();
            let (status, _) = self
                .client
                .call(self.nodes[node], Method::DELETE, &job.path, None)
                .await;
            if status == 200 {
                job.cancelled = Some(Instant::now());
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the state of a job that a node reports, or the HTTP status if it reports none.
    pub(crate) async fn state(&self, node: usize, path: &str) -> String {
        self.client.state(self.nodes[node], path).await
    }
}
