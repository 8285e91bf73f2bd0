use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lagoon_core::ResultCode;
use lagoon_wire::v1;
use lagoon_wire::v1::peer_server::PeerServer;
use lagoon_wire::v1::scheduler_server::{Scheduler, SchedulerServer};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// Reaction to the next call that starts work.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// Answer at once.
    Answer,
    /// Refuse, with the address of an owner if any.
    Refuse(ResultCode, Option<SocketAddr>),
    /// Accept the call, then fail like a lost connection.
    LoseAnswer,
    /// Accept the call and answer after a delay.
    AnswerAfter(Duration),
    /// Accept the call and answer when the test releases it.
    Hold,
}

/// State that tests set and read.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) replies: VecDeque<Reply>,
    /// Ticket or key of each call that started work; empty if it had neither.
    pub(crate) calls: Vec<String>,
    pub(crate) claims: Vec<v1::ShardClaim>,
    pub(crate) jobs: Vec<v1::WorkStatus>,
    pub(crate) cancelled: Vec<String>,
    pub(crate) policy: u64,
    pub(crate) leaving: bool,
    /// Number of calls that are held, and its maximum so far.
    pub(crate) held_calls: usize,
    pub(crate) max_held_calls: usize,
}

/// gRPC services of a fake scheduler.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
    release_signal: watch::Receiver<bool>,
}

/// Scheduler with scripted answers. Runs on its own threads, so that it can be killed.
#[derive(Debug)]
pub(crate) struct FakeScheduler {
    pub(crate) address: SocketAddr,
    name: String,
    state: Arc<Mutex<State>>,
    release_signal: watch::Sender<bool>,
    runtime: Option<Runtime>,
}

impl FakeScheduler {
    /// Starts a scheduler in the failure domain `cluj`.
    pub(crate) fn start(name: &str) -> Self {
        Self::start_in(name, "cluj")
    }

    pub(crate) fn start_in(name: &str, domain: &str) -> Self {
        let runtime = Runtime::new().unwrap();
        let guard = runtime.enter();
        let incoming = TcpIncoming::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = incoming.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            policy: 1,
            ..State::default()
        }));
        let (release_signal, is_released) = watch::channel(false);
        let service = Service {
            name: name.to_owned(),
            domain: domain.to_owned(),
            address,
            state: state.clone(),
            release_signal: is_released,
        };
        let server = tonic::transport::Server::builder()
            .add_service(SchedulerServer::new(service.clone()))
            .add_service(PeerServer::new(service))
            .serve_with_incoming(incoming);
        runtime.spawn(server);
        drop(guard);
        Self {
            address,
            name: name.to_owned(),
            state,
            release_signal,
            runtime: Some(runtime),
        }
    }

    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.state.lock().unwrap())
    }

    /// Claims a shard and reports it as served.
    pub(crate) fn claim(&self, shard: &str, epoch: u64) {
        let claim = v1::ShardClaim {
            shard: shard.to_owned(),
            epoch,
            owner: self.name.clone(),
            owner_address: self.address.to_string(),
            serving: true,
        };
        self.with(|state| state.claims.push(claim));
    }

    pub(crate) fn reply(&self, replies: &[Reply]) {
        self.with(|state| state.replies.extend(replies.iter().cloned()));
    }

    /// Releases held and later calls if `released`; otherwise holds later calls again.
    pub(crate) fn release(&self, release_signal: bool) {
        self.release_signal.send_replace(release_signal);
    }

    pub(crate) fn calls(&self) -> Vec<String> {
        self.with(|state| state.calls.clone())
    }

    /// Closes all connections and stops listening.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for FakeScheduler {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Service {
    async fn next_reply(&self, call: String) -> Result<Option<v1::Refusal>, Status> {
        let reply = {
            let mut state = self.state.lock().unwrap();
            state.calls.push(call);
            state.replies.pop_front().unwrap_or(Reply::Answer)
        };
        match reply {
            Reply::Answer => Ok(None),
            Reply::Refuse(code, owner) => Ok(Some(v1::Refusal {
                code: code.number().into(),
                message: "refused by the fake".to_owned(),
                retry_after_ms: None,
                owner_address: owner.map(|owner| owner.to_string()).unwrap_or_default(),
            })),
            Reply::LoseAnswer => Err(Status::unavailable("the connection broke")),
            Reply::AnswerAfter(wait) => {
                tokio::time::sleep(wait).await;
                Ok(None)
            }
            Reply::Hold => {
                {
                    let mut state = self.state.lock().unwrap();
                    state.held_calls += 1;
                    state.max_held_calls = state.max_held_calls.max(state.held_calls);
                }
                let mut release_signal = self.release_signal.clone();
                let _ = release_signal
                    .wait_for(|release_signal| *release_signal)
                    .await;
                self.state.lock().unwrap().held_calls -= 1;
                Ok(None)
            }
        }
    }
}

#[tonic::async_trait]
impl Scheduler for Service {
    async fn issue_tickets(
        &self,
        req: Request<v1::IssueTicketsRequest>,
    ) -> Result<Response<v1::IssueTicketsResponse>, Status> {
        let req = req.into_inner();
        let tickets = (0..req.count).map(|i| format!("t:{}:1:{i}", req.shard));
        Ok(Response::new(v1::IssueTicketsResponse {
            tickets: tickets.collect(),
            refusal: None,
        }))
    }

    async fn confirm_tickets(
        &self,
        _: Request<v1::ConfirmTicketsRequest>,
    ) -> Result<Response<v1::ConfirmTicketsResponse>, Status> {
        Ok(Response::new(v1::ConfirmTicketsResponse::default()))
    }

    async fn run_request(
        &self,
        req: Request<v1::RunRequestRequest>,
    ) -> Result<Response<v1::RunRequestResponse>, Status> {
        let req = req.into_inner();
        let kind = match self
            .next_reply(format!("{}{}", req.ticket, req.key))
            .await?
        {
            Some(refusal) => v1::outcome::Kind::Refused(refusal),
            None => v1::outcome::Kind::Succeeded(req.spec.unwrap_or_default().payload),
        };
        Ok(Response::new(v1::RunRequestResponse {
            outcome: Some(v1::Outcome { kind: Some(kind) }),
            repeated: false,
        }))
    }

    async fn submit_job(
        &self,
        req: Request<v1::SubmitJobRequest>,
    ) -> Result<Response<v1::SubmitJobResponse>, Status> {
        let req = req.into_inner();
        let refusal = self.next_reply(req.key).await?;
        let status = v1::WorkStatus {
            work: format!("w:{}:1:1", req.shard),
            state: "waiting".to_owned(),
            spec: req.spec,
            ..Default::default()
        };
        Ok(Response::new(v1::SubmitJobResponse {
            status: Some(status),
            refusal,
            repeated: false,
        }))
    }

    async fn get_job(
        &self,
        req: Request<v1::GetJobRequest>,
    ) -> Result<Response<v1::GetJobResponse>, Status> {
        let work = req.into_inner().work;
        let state = self.state.lock().unwrap();
        let status = state.jobs.iter().find(|job| job.work == work).cloned();
        let refusal = status.is_none().then(|| v1::Refusal {
            code: ResultCode::UnknownWork.number().into(),
            ..Default::default()
        });
        Ok(Response::new(v1::GetJobResponse { status, refusal }))
    }

    async fn list_jobs(
        &self,
        req: Request<v1::ListJobsRequest>,
    ) -> Result<Response<v1::ListJobsResponse>, Status> {
        let req = req.into_inner();
        let state = self.state.lock().unwrap();
        let wanted = |job: &&v1::WorkStatus| {
            let team = job.spec.as_ref().map(|spec| spec.team.as_str());
            let here = job.work.starts_with(&format!("w:{}:", req.shard));
            here && (req.team.is_empty() || team == Some(req.team.as_str()))
        };
        Ok(Response::new(v1::ListJobsResponse {
            jobs: state.jobs.iter().filter(wanted).cloned().collect(),
            refusal: None,
            truncated: false,
        }))
    }

    async fn cancel_jobs(
        &self,
        req: Request<v1::CancelJobsRequest>,
    ) -> Result<Response<v1::CancelJobsResponse>, Status> {
        let works = req.into_inner().works;
        let mut state = self.state.lock().unwrap();
        state.cancelled.extend(works.iter().cloned());
        let find = |work: &String| state.jobs.iter().find(|job| job.work == *work).cloned();
        let results = works.iter().map(|work| v1::CancelResult {
            work: work.clone(),
            status: find(work),
            refusal: None,
        });
        Ok(Response::new(v1::CancelJobsResponse {
            results: results.collect(),
            refusal: None,
        }))
    }

    async fn describe_shards(
        &self,
        _: Request<v1::DescribeShardsRequest>,
    ) -> Result<Response<v1::DescribeShardsResponse>, Status> {
        Err(Status::unimplemented("not used by the gateway"))
    }
}
