use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use lagoon_core::id::PolicyVersion;
use lagoon_core::policy::Policy;
use lagoon_wire::v1;
use lagoon_wire::v1::operator_server::OperatorServer;
use lagoon_wire::v1::peer_server::PeerServer;
use lagoon_wire::v1::scheduler_server::SchedulerServer;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::util::fake_services::Services;

/// Fake scheduler that serves one shard and applies commands to its work.
#[derive(Debug)]
pub(crate) struct FakeScheduler {
    address: SocketAddr,
    state: Arc<State>,
    /// Separate from the test's runtime, so that `kill` also breaks open connections.
    runtime: Mutex<Option<Runtime>>,
}

/// State of a fake scheduler.
#[derive(Debug)]
pub(super) struct State {
    pub(super) process: String,
    address: SocketAddr,
    pub(super) peers: Vec<v1::Member>,
    pub(super) shard: Mutex<v1::ShardStatus>,
    pub(super) works: Mutex<Vec<v1::WorkStatus>>,
    pub(super) policy: Mutex<Policy>,
    pub(super) changes: Mutex<Vec<v1::ApplyRequest>>,
}

/// Returns the status of a piece of batch work.
pub(crate) fn work(id: &str, state: &str, team: &str) -> v1::WorkStatus {
    let resources = v1::Resources {
        cpu_millicores: 1_500,
        memory_bytes: 2 << 30,
        accelerators: 0,
    };
    v1::WorkStatus {
        work: id.to_owned(),
        state: state.to_owned(),
        reason: format!("{state} in the fake"),
        spec: Some(v1::WorkSpec {
            kind: "batch".to_owned(),
            team: team.to_owned(),
            priority: 50,
            members: 1,
            resources: Some(resources),
            ..Default::default()
        }),
        accepted_at: 1,
        ..Default::default()
    }
}

impl FakeScheduler {
    /// Starts a fake that owns `shard` and lists `peers` in its heartbeat responses.
    pub(crate) fn bind(process: &str, shard: &str, peers: &[&FakeScheduler]) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let worker = |n: u32| v1::WorkerStatus {
            worker: format!("{process}-w{n}"),
            host: format!("{process}-h{n}"),
            rack: format!("{process}-r1"),
            state: "leased".to_owned(),
            epoch: 3,
            capacity: Some(v1::Resources {
                cpu_millicores: 16_000,
                memory_bytes: 32 << 30,
                accelerators: 0,
            }),
            ..Default::default()
        };
        let status = v1::ShardStatus {
            shard: shard.to_owned(),
            state: "serving".to_owned(),
            owner: process.to_owned(),
            epoch: 7,
            workers: vec![worker(1), worker(2)],
            ..Default::default()
        };
        let state = Arc::new(State {
            process: process.to_owned(),
            address,
            peers: peers.iter().map(|peer| peer.state.member()).collect(),
            shard: Mutex::new(status),
            works: Mutex::default(),
            // A scheduler with peers has a higher policy version, so that the newest policy is unambiguous.
            policy: Mutex::new(Policy {
                version: PolicyVersion::new(1 + peers.len() as u64),
                ..Policy::default()
            }),
            changes: Mutex::default(),
        });
        let services = Services(state.clone());
        let runtime = Runtime::new().unwrap();
        runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).unwrap();
            let server = Server::builder()
                .add_service(SchedulerServer::new(services.clone()))
                .add_service(PeerServer::new(services.clone()))
                .add_service(OperatorServer::new(services));
            let incoming = TcpIncoming::from(listener);
            server.serve_with_incoming(incoming).await.unwrap();
        });
        Self {
            address,
            state,
            runtime: Mutex::new(Some(runtime)),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn add(&self, works: impl IntoIterator<Item = v1::WorkStatus>) {
        self.state.works.lock().unwrap().extend(works);
    }

    /// Sets the epoch of the shard, as a takeover would.
    pub(crate) fn set_epoch(&self, epoch: u64) {
        self.state.shard.lock().unwrap().epoch = epoch;
    }

    /// Returns the received changes.
    pub(crate) fn changes(&self) -> Vec<v1::ApplyRequest> {
        self.state.changes.lock().unwrap().clone()
    }

    /// Stops the fake immediately and breaks its connections.
    pub(crate) fn kill(&self) {
        if let Some(runtime) = self.runtime.lock().unwrap().take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for FakeScheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

impl State {
    pub(super) fn member(&self) -> v1::Member {
        let shard = self.shard.lock().unwrap();
        v1::Member {
            up_ms: 60_000,
            leaving: false,
            process: self.process.clone(),
            role: "scheduler".to_owned(),
            domain: "cluj".to_owned(),
            address: self.address.to_string(),
            policy_version: 1,
            shards: vec![v1::ShardClaim {
                shard: shard.shard.clone(),
                epoch: shard.epoch,
                ..Default::default()
            }],
        }
    }

    pub(super) fn change_works(&self, list: &v1::WorkList, from: &[&str], to: &str) -> u32 {
        let mut works = self.works.lock().unwrap();
        let touched = works
            .iter_mut()
            .filter(|work| list.works.contains(&work.work) && from.contains(&work.state.as_str()));
        let changed = touched.map(|work| work.state = to.to_owned()).count();
        works.retain(|work| work.state != "ended");
        changed as u32
    }
}
