use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use lagoon_core::id::PolicyVersion;
use lagoon_core::policy::Policy;
use lagoon_wire::v1;
use lagoon_wire::v1::apply_request::Change;
use lagoon_wire::v1::operator_server::{Operator, OperatorServer};
use lagoon_wire::v1::peer_server::{Peer, PeerServer};
use lagoon_wire::v1::scheduler_server::{Scheduler, SchedulerServer};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

type Answer<T> = Result<Response<T>, Status>;

/// Fake of a scheduler's services for one shard, whose work changes as commands say.
#[derive(Debug)]
pub(crate) struct FakeScheduler {
    address: SocketAddr,
    state: Arc<State>,
    /// Apart from the test's runtime, so that a death also breaks open connections.
    runtime: Mutex<Option<Runtime>>,
}

#[derive(Debug)]
pub(crate) struct State {
    process: String,
    address: SocketAddr,
    peers: Vec<v1::Member>,
    shard: Mutex<v1::ShardStatus>,
    works: Mutex<Vec<v1::WorkStatus>>,
    policy: Mutex<Policy>,
    changes: Mutex<Vec<v1::ApplyRequest>>,
}

#[derive(Debug, Clone)]
struct Services(Arc<State>);

/// A piece of batch work.
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
    /// Starts the owner of `shard`, which mentions `peers` in its heartbeats.
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
            // A scheduler with peers is one version ahead, so that there is one newest policy.
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

    /// Sets the epoch of the shard, as a takeover does.
    pub(crate) fn set_epoch(&self, epoch: u64) {
        self.state.shard.lock().unwrap().epoch = epoch;
    }

    /// Returns the changes that arrived.
    pub(crate) fn changes(&self) -> Vec<v1::ApplyRequest> {
        self.state.changes.lock().unwrap().clone()
    }

    /// Stops at once, with all connections.
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
    fn member(&self) -> v1::Member {
        let shard = self.shard.lock().unwrap();
        v1::Member {
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

    fn change_works(&self, list: &v1::WorkList, from: &[&str], to: &str) -> u32 {
        let mut works = self.works.lock().unwrap();
        let touched = works
            .iter_mut()
            .filter(|work| list.works.contains(&work.work) && from.contains(&work.state.as_str()));
        let changed = touched.map(|work| work.state = to.to_owned()).count();
        works.retain(|work| work.state != "ended");
        changed as u32
    }
}

fn refusal(code: u32, message: &str) -> Option<v1::Refusal> {
    Some(v1::Refusal {
        code,
        message: message.to_owned(),
        ..Default::default()
    })
}

#[tonic::async_trait]
impl Operator for Services {
    async fn explain(&self, req: Request<v1::ExplainRequest>) -> Answer<v1::ExplainResponse> {
        let id = req.into_inner().work;
        let works = self.0.works.lock().unwrap();
        let found = works.iter().find(|work| work.work == id);
        Ok(Response::new(v1::ExplainResponse {
            status: found.cloned(),
            rule: found.map(|work| work.reason.clone()).unwrap_or_default(),
            refusal: if found.is_some() {
                None
            } else {
                refusal(1008, "the work is not known")
            },
            ..Default::default()
        }))
    }

    async fn apply(&self, req: Request<v1::ApplyRequest>) -> Answer<v1::ApplyResponse> {
        let req = req.into_inner();
        self.0.changes.lock().unwrap().push(req.clone());
        let any = ["waiting", "held", "starting", "running", "unresolved"];
        let mut answer = v1::ApplyResponse::default();
        match req.change.unwrap() {
            Change::Cancel(list) => answer.changed = self.0.change_works(&list, &any, "ended"),
            Change::Hold(list) => answer.changed = self.0.change_works(&list, &["waiting"], "held"),
            Change::Release(list) => {
                answer.changed = self.0.change_works(&list, &["held"], "waiting");
            }
            Change::ConfirmDeadHost(_) => answer.changed = 1,
            Change::HandOverTo(_) => answer.refusal = refusal(1003, "a handover is not served"),
        }
        Ok(Response::new(answer))
    }
}

#[tonic::async_trait]
impl Scheduler for Services {
    async fn list_jobs(&self, _: Request<v1::ListJobsRequest>) -> Answer<v1::ListJobsResponse> {
        Ok(Response::new(v1::ListJobsResponse {
            jobs: self.0.works.lock().unwrap().clone(),
            ..Default::default()
        }))
    }

    async fn get_job(&self, req: Request<v1::GetJobRequest>) -> Answer<v1::GetJobResponse> {
        let id = req.into_inner().work;
        let works = self.0.works.lock().unwrap();
        let status = works.iter().find(|work| work.work == id).cloned();
        let unknown = status.is_none();
        Ok(Response::new(v1::GetJobResponse {
            status,
            refusal: if unknown {
                refusal(1008, &format!("{id} is not known"))
            } else {
                None
            },
        }))
    }

    async fn describe_shards(
        &self,
        _: Request<v1::DescribeShardsRequest>,
    ) -> Answer<v1::DescribeShardsResponse> {
        let mut shard = self.0.shard.lock().unwrap().clone();
        let works = self.0.works.lock().unwrap();
        let count = |state: &str| works.iter().filter(|work| work.state == state).count() as u64;
        shard.queued = count("waiting") + count("held");
        shard.running = count("running");
        Ok(Response::new(v1::DescribeShardsResponse {
            process: self.0.process.clone(),
            policy_version: 1,
            shards: vec![shard],
        }))
    }

    async fn issue_tickets(
        &self,
        _: Request<v1::IssueTicketsRequest>,
    ) -> Answer<v1::IssueTicketsResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn confirm_tickets(
        &self,
        _: Request<v1::ConfirmTicketsRequest>,
    ) -> Answer<v1::ConfirmTicketsResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn run_request(
        &self,
        _: Request<v1::RunRequestRequest>,
    ) -> Answer<v1::RunRequestResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn submit_job(&self, _: Request<v1::SubmitJobRequest>) -> Answer<v1::SubmitJobResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn cancel_jobs(
        &self,
        _: Request<v1::CancelJobsRequest>,
    ) -> Answer<v1::CancelJobsResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }
}

#[tonic::async_trait]
impl Peer for Services {
    async fn heartbeat(&self, _: Request<v1::HeartbeatRequest>) -> Answer<v1::HeartbeatResponse> {
        Ok(Response::new(v1::HeartbeatResponse {
            receiver: Some(self.0.member()),
            members: self.0.peers.clone(),
        }))
    }

    async fn get_policy(&self, _: Request<v1::GetPolicyRequest>) -> Answer<v1::GetPolicyResponse> {
        let policy = self.0.policy.lock().unwrap();
        Ok(Response::new(v1::GetPolicyResponse {
            version: policy.version.get(),
            document: serde_json::to_string(&*policy).unwrap(),
        }))
    }

    async fn reserve(&self, _: Request<v1::ReserveRequest>) -> Answer<v1::ReserveResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn commit_reservation(
        &self,
        _: Request<v1::CommitReservationRequest>,
    ) -> Answer<v1::CommitReservationResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn release_reservation(
        &self,
        _: Request<v1::ReleaseReservationRequest>,
    ) -> Answer<v1::ReleaseReservationResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn delegate(&self, _: Request<v1::DelegateRequest>) -> Answer<v1::DelegateResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn delegate_outcome(
        &self,
        _: Request<v1::DelegateOutcomeRequest>,
    ) -> Answer<v1::DelegateOutcomeResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }

    async fn hand_over(&self, _: Request<v1::HandOverRequest>) -> Answer<v1::HandOverResponse> {
        Err(Status::unimplemented("not part of the fake"))
    }
}
