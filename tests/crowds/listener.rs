use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use lagoon_core::unit::Millis;
use lagoon_standin::site::{SiteClient, SiteHandle};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::harness::{BoxError, Client, Cluster, ClusterPlan, Node, eventually};
use crate::usage::Usage;

const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Far above the time of an ordinary request, so that the tests pass on a busy machine.
const ANSWER_TIMEOUT: Millis = Millis::new(60_000);
const NODE_QUEUE: &str = "/plain/";
const NODE_JOB: &str = "/plain/00000000000000a1";
const CROWD_JOB: &str = "/plain/00000000000000c1";
const GATEWAY_HEALTH: &str = "/healthz";
const GATEWAY_REQUESTS: &str = "/v1/requests";

/// Listener for callers of a process that runs beside the stand-ins that it needs.
#[derive(Debug)]
pub(crate) enum Listener {
    /// Callers' address of a node.
    Node {
        node: Box<Node>,
        _site: SiteHandle,
        _dir: TempDir,
    },
    /// Address of a gateway.
    Gateway(Box<Cluster>),
}

impl Listener {
    /// Starts a node with an executor, and waits until it accepts jobs.
    pub(crate) async fn node() -> Result<Self, BoxError> {
        Self::node_with_descriptors(None).await
    }

    /// Starts a node that may open `descriptors` at most.
    pub(crate) async fn node_with_descriptors(descriptors: Option<u32>) -> Result<Self, BoxError> {
        let dir = tempfile::tempdir()?;
        let mut site = SiteHandle::bind().await?;
        site.configure(1, &["plain"]);
        site.start_executor("e0", 8_000).await?;
        let mut node = Node::spawn(0, dir.path(), site.store(), site.adviser())?;
        if descriptors.is_some() {
            node.limit_descriptors(descriptors);
            node.start()?;
        }
        let node = Box::new(node);
        let listener = Self::Node {
            node,
            _site: site,
            _dir: dir,
        };
        let accepts = async || listener.send_ordinary_request().await.ok();
        eventually("the node accepts jobs", START_TIMEOUT, accepts).await?;
        Ok(listener)
    }

    /// Starts a gateway with a scheduler, and waits until both are ready.
    pub(crate) async fn gateway() -> Result<Self, BoxError> {
        Self::gateway_with_descriptors(None).await
    }

    /// Starts a gateway that may open `descriptors` at most.
    pub(crate) async fn gateway_with_descriptors(
        descriptors: Option<u32>,
    ) -> Result<Self, BoxError> {
        let plan = ClusterPlan {
            schedulers: 1,
            gateways: 1,
            ..ClusterPlan::one_domain()
        };
        let mut cluster = Cluster::start(&plan).await?;
        if descriptors.is_some() {
            cluster.gateways[0].limit_descriptors(descriptors);
            cluster.gateways[0].kill();
            cluster.gateways[0].start()?;
            cluster.wait_until_ready().await?;
        }
        Ok(Self::Gateway(Box::new(cluster)))
    }

    /// Returns the address that callers reach.
    pub(crate) fn address(&self) -> SocketAddr {
        match self {
            Self::Node { node, .. } => node.callers,
            Self::Gateway(cluster) => cluster.gateways[0].address,
        }
    }

    /// Returns the head of a valid request, without the headers for the length of the body and without its end.
    pub(crate) fn request_head(&self) -> String {
        let path = match self {
            Self::Node { .. } => CROWD_JOB,
            Self::Gateway(_) => GATEWAY_REQUESTS,
        };
        format!("POST {path} HTTP/1.1\r\nhost: cell.example\r\ncontent-type: application/json\r\n")
    }

    /// Returns a path that is read with GET.
    pub(crate) fn read_path(&self) -> &'static str {
        match self {
            Self::Node { .. } => NODE_QUEUE,
            Self::Gateway(_) => GATEWAY_HEALTH,
        }
    }

    /// Returns a complete valid request with `headers`, each with its line end.
    pub(crate) fn request(&self, headers: &str) -> String {
        let (head, body) = (self.request_head(), self.ordinary_body().to_string());
        let length = body.len();
        format!("{head}{headers}content-length: {length}\r\n\r\n{body}")
    }

    /// Returns the body of a valid request, padded with white space to `size` bytes.
    pub(crate) fn request_body(&self, size: usize) -> Vec<u8> {
        let json = self.ordinary_body().to_string();
        let (start, end) = json.split_at(json.len() - 1);
        let padding = " ".repeat(size - json.len());
        format!("{start}{padding}{end}").into_bytes()
    }

    /// Sends an ordinary request on a new connection; fails unless it is answered with success.
    pub(crate) async fn send_ordinary_request(&self) -> Result<(), BoxError> {
        let body = self.ordinary_body();
        let address = self.address();
        let status = match self {
            Self::Node { .. } => {
                let client = SiteClient::with_timeout(ANSWER_TIMEOUT);
                let answer = client.call(address, Method::POST, NODE_JOB, Some(&body));
                answer.await.0
            }
            Self::Gateway(_) => {
                let client = Client::new();
                let answer =
                    client.send(&address, Method::POST, GATEWAY_REQUESTS, None, Some(&body));
                answer.await?.status
            }
        };
        match status {
            200 => Ok(()),
            _ => Err(format!("an ordinary request was answered with status {status}").into()),
        }
    }

    /// Returns the memory and descriptors of the process.
    pub(crate) fn usage(&self) -> Result<Usage, BoxError> {
        let process = match self {
            Self::Node { node, .. } => node.id(),
            Self::Gateway(cluster) => cluster.gateways[0].id(),
        };
        Usage::of(process.ok_or("the process was not started")?)
    }

    /// Fails if the process has exited by itself.
    pub(crate) fn check_running(&mut self) -> Result<(), BoxError> {
        match self {
            Self::Node { node, .. } => node.check_running(),
            Self::Gateway(cluster) => match cluster.gateways[0].is_running() {
                true => Ok(()),
                false => Err("the gateway exited unexpectedly".into()),
            },
        }
    }

    fn ordinary_body(&self) -> Value {
        match self {
            Self::Node { .. } => json!({"spec": "ms=10", "steps": [{"count": 1, "cpu": 100}]}),
            Self::Gateway(_) => {
                json!({"service": "planner", "team": "settlers", "payload": "echo:check"})
            }
        }
    }
}
