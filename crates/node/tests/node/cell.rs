use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::Method;
use lagoon_node::{Node, NodeSettings};
use lagoon_process::Clock;
use lagoon_standin::free_address;
use lagoon_standin::site::{SiteClient, SiteHandle};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::node_thread::NodeThread;

/// Time within which an expected state has to occur. A takeover takes about 2 s, and a lease expires after 5 s.
const TIMEOUT: Duration = Duration::from_secs(20);

/// CPU share of a node in cores, unless a test sets another one.
const DEFAULT_STRENGTH: f64 = 0.5;

/// A node, unless it runs on a thread of its own, with its addresses for callers, readiness and metrics.
type StartedNode = (Option<Node>, SocketAddr, SocketAddr, SocketAddr);

/// Nodes against a stand-in for the platform, with a client.
pub(crate) struct Cell {
    pub(crate) site: SiteHandle,
    nodes: Vec<Option<StartedNode>>,
    client: SiteClient,
    /// Shortest lease of the store, after which a node without renewals is gone.
    pub(crate) store_lease: Duration,
    /// Longest lease that executors grant, according to the settings of the nodes.
    pub(crate) max_lease: Duration,
}

impl Cell {
    /// Starts nodes and executors with four cores each, and waits until the nodes are ready.
    pub(crate) async fn start(nodes: usize, executors: usize) -> Self {
        let mut site = SiteHandle::bind().await.unwrap();
        site.configure(1, &["plain", "advised"]);
        for number in 0..executors {
            site.start_executor(&format!("e{number}"), 4_000)
                .await
                .unwrap();
        }
        let mut cell = Self {
            site,
            nodes: Vec::new(),
            client: SiteClient::default(),
            store_lease: Duration::from_secs(1),
            max_lease: Duration::from_secs(6),
        };
        for _ in 0..nodes {
            cell.add_node().await;
        }
        cell
    }

    pub(crate) async fn add_node(&mut self) {
        let store = self.site.store();
        self.add_custom_node(store, DEFAULT_STRENGTH).await;
    }

    /// Starts a node with the given CPU share.
    pub(crate) async fn add_node_with_strength(&mut self, strength: f64) {
        let store = self.site.store();
        self.add_custom_node(store, strength).await;
    }

    /// Starts a node that connects to the store at `store`.
    pub(crate) async fn add_node_with_store(&mut self, store: SocketAddr) {
        self.add_custom_node(store, DEFAULT_STRENGTH).await;
    }

    async fn add_custom_node(&mut self, store: SocketAddr, strength: f64) {
        let number = self.nodes.len();
        self.nodes.push(None);
        self.start_node(number, store, strength).await;
    }

    /// Restarts a node that has crashed or was stopped.
    pub(crate) async fn restart_node(&mut self, number: usize) {
        let store = self.site.store();
        self.start_node(number, store, DEFAULT_STRENGTH).await;
    }

    /// Starts a node on a thread of its own, where it can be paused.
    pub(crate) async fn add_pausable_node(&mut self) -> NodeThread {
        let number = self.nodes.len();
        let (settings, addresses) = self.settings(number, self.site.store(), DEFAULT_STRENGTH);
        let node = NodeThread::spawn(settings);
        let [callers, readiness, metrics] = addresses;
        self.nodes.push(Some((None, callers, readiness, metrics)));
        self.wait_until_ready(readiness).await;
        self.eventually("the node owns the cell", async |cell: &Self| {
            cell.call(number, Method::GET, "/plain/", None).await.0 == 200
        })
        .await;
        node
    }

    async fn start_node(&mut self, number: usize, store: SocketAddr, strength: f64) {
        let (settings, addresses) = self.settings(number, store, strength);
        let node = Node::bind(settings, Clock::anchored()).await.unwrap();
        let [callers, readiness, metrics] = addresses;
        self.nodes[number] = Some((Some(node), callers, readiness, metrics));
        self.wait_until_ready(readiness).await;
    }

    /// Returns the settings of a node, and its addresses for callers, readiness and metrics.
    fn settings(
        &self,
        number: usize,
        store: SocketAddr,
        strength: f64,
    ) -> (NodeSettings, [SocketAddr; 3]) {
        let lease = self.store_lease.as_secs();
        let max_lease = self.max_lease.as_secs();
        let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_address().unwrap());
        let adviser = self.site.adviser();
        let settings = format!(
            "member: m{number}\nfailure_domain: d1\nstrength: {strength}\nlisten:\n  callers: {callers}\n  \
             readiness: {readiness}\n  peers: {peers}\n  metrics: {metrics}\nstore: {store}\nadviser: {adviser}\n\
             limits:\n  max_lease: {max_lease}s\n  retention: 120s\n  grace: 1s\n  min_store_lease: {lease}s\n"
        );
        let settings: NodeSettings =
            lagoon_process::settings::parse(Path::new("test.yaml"), &settings).unwrap();
        (settings, [callers, readiness, metrics])
    }

    async fn wait_until_ready(&self, readiness: SocketAddr) {
        self.eventually("the node is ready", async |cell: &Self| {
            cell.client
                .call(readiness, Method::GET, "/v1/readiness", None)
                .await
                .0
                == 200
        })
        .await;
    }

    /// Drops a node, which ends it like a crash.
    pub(crate) fn crash_node(&mut self, number: usize) {
        self.nodes[number] = None;
    }

    /// Stops a node gracefully, as the platform does.
    pub(crate) async fn stop_node(&mut self, number: usize) {
        let (node, ..) = self.nodes[number].take().unwrap();
        node.unwrap().stop().await;
    }

    /// Returns the number of the node that owns the cell, once there is one.
    pub(crate) async fn owner(&self) -> usize {
        self.eventually("there is an owner", async |cell: &Self| {
            !cell.site.keys("lagoon/cell/owner").is_empty()
        })
        .await;
        let owner = self.site.read("lagoon/cell/owner").unwrap();
        owner["member"].as_str().unwrap()[1..].parse().unwrap()
    }

    /// Sends an operator's request to a node.
    pub(crate) async fn inspect(&self, node: usize, path: &str) -> (u16, Value) {
        let metrics = self.nodes[node].as_ref().unwrap().3;
        self.client.call(metrics, Method::GET, path, None).await
    }

    /// Calls a node; returns status 0 if there is no answer.
    pub(crate) async fn call(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let callers = self.nodes[node].as_ref().unwrap().1;
        self.client.call(callers, method, path, body).await
    }

    pub(crate) async fn submit(&self, node: usize, path: &str, steps: Value) -> u16 {
        self.submit_payload(node, path, "ms=60", steps).await
    }

    pub(crate) async fn submit_payload(
        &self,
        node: usize,
        path: &str,
        payload: &str,
        steps: Value,
    ) -> u16 {
        let body = json!({"spec": payload, "steps": steps});
        self.call(node, Method::POST, path, Some(&body)).await.0
    }

    /// Submits a job until it is accepted, as a caller does.
    pub(crate) async fn submit_until_accepted(
        &self,
        node: usize,
        path: &str,
        payload: &str,
        steps: Value,
    ) {
        self.eventually("the job is accepted", async |cell: &Self| {
            cell.submit_payload(node, path, payload, steps.clone())
                .await
                == 200
        })
        .await;
    }

    pub(crate) async fn state(&self, node: usize, path: &str) -> String {
        let callers = self.nodes[node].as_ref().unwrap().1;
        self.client.state(callers, path).await
    }

    pub(crate) async fn wait_for_state(&self, node: usize, path: &str, state: &str) {
        self.eventually(&format!("{path} is {state}"), async |cell: &Self| {
            cell.state(node, path).await == state
        })
        .await;
    }

    /// Waits until `count` tasks have started on executors. The state of the job does not show that, because a request
    /// for it waits for the final state first.
    pub(crate) async fn wait_for_starts(&self, count: usize) {
        self.eventually("the tasks have started", async |cell: &Self| {
            cell.site.log().starts().len() >= count
        })
        .await;
    }

    /// Polls until `holds` returns true, and fails after [`TIMEOUT`].
    pub(crate) async fn eventually(&self, description: &str, holds: impl AsyncFn(&Self) -> bool) {
        let until = Instant::now() + TIMEOUT;
        while !holds(self).await {
            assert!(Instant::now() < until, "{description} within {TIMEOUT:?}");
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Fails if the stand-in has recorded a violation of an invariant.
    pub(crate) fn assert_no_violations(&self) {
        assert_eq!(self.site.log().violations(), Vec::<String>::new());
    }
}
