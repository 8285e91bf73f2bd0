use std::sync::Arc;

use lagoon_core::id::{Ticket, WorkId};
use lagoon_core::shard::{Deduplication, Reply, Submission, WorkView};
use lagoon_core::unit::Millis;
use lagoon_core::work::Outcome;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::convert::{optional_field, outcome_to_wire, parse_field, spec_from_wire};
use lagoon_wire::v1;
use lagoon_wire::v1::scheduler_server::Scheduler;
use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

use crate::service::Node;
use crate::service::view::{shard_status, work_status};

/// Longest wait for cancelled work to end before its current state is returned.
const CANCEL_TIMEOUT: Millis = Millis::new(2_000);
/// Largest number of jobs in one list.
const MAX_LISTED_JOBS: usize = 10_000;

type RpcResult<T> = Result<Response<T>, Status>;

/// Serves calls from gateways.
#[derive(Debug)]
pub(crate) struct SchedulerService {
    node: Arc<Node>,
}

impl SchedulerService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn refusal(&self, refusal: &Refusal, shard: &str) -> Option<v1::Refusal> {
        Some(self.node.refusal(refusal, shard.parse().ok().as_ref()))
    }

    async fn submit(&self, shard: &str, submission: Submission) -> Result<Reply, Refusal> {
        let cell = self.node.cell(shard)?;
        let now = self.node.cx.clock.now();
        let in_flight = cell.begin_call();
        let rx = cell.with_waiter(|shard, waiter| shard.submit(waiter, submission, now))?;
        let reply = rx.await.map_err(|_| owner_changed())?;
        drop(in_flight);
        Ok(reply)
    }

    async fn run(&self, req: &v1::RunRequestRequest) -> Result<(Outcome, bool), Refusal> {
        let spec = spec_from_wire(required("spec", req.spec.as_ref())?)?;
        let ticket: Option<Ticket> = optional_field("ticket", &req.ticket)?;
        let deduplication = match (ticket, optional_field("key", &req.key)?) {
            (Some(ticket), None) => Deduplication::Ticket(ticket),
            (None, Some(key)) => Deduplication::Journal(key),
            (None, None) => Deduplication::Once,
            (Some(_), Some(_)) => {
                let text = "a request has a ticket or an idempotency key, not both";
                return Err(Refusal::new(ResultCode::InvalidValue, text));
            }
        };
        let fingerprint = spec.fingerprint();
        let submission = Submission {
            deduplication,
            spec,
            fingerprint,
            wait_for_end: true,
        };
        match self.submit(&req.shard, submission).await? {
            Reply::Ended { outcome, repeated } => Ok((outcome, repeated)),
            Reply::Refused(refusal) => Err(refusal),
            Reply::Accepted { .. } => Err(owner_changed()),
        }
    }

    async fn accept(&self, req: &v1::SubmitJobRequest) -> Result<(Box<WorkView>, bool), Refusal> {
        let spec = spec_from_wire(required("spec", req.spec.as_ref())?)?;
        let deduplication = Deduplication::Journal(parse_field("key", &req.key)?);
        let fingerprint = spec.fingerprint();
        let submission = Submission {
            deduplication,
            spec,
            fingerprint,
            wait_for_end: false,
        };
        match self.submit(&req.shard, submission).await? {
            Reply::Accepted { view, repeated } => Ok((view, repeated)),
            Reply::Refused(refusal) => Err(refusal),
            Reply::Ended { .. } => Err(owner_changed()),
        }
    }

    fn find(&self, work: &WorkId) -> Result<v1::WorkStatus, Refusal> {
        let cell = self.node.cell_of(work.shard())?;
        let found = cell.with(|shard| shard.work(work))?;
        found
            .as_ref()
            .map(work_status)
            .ok_or_else(|| Refusal::new(ResultCode::UnknownWork, format!("{work} is not known")))
    }

    async fn cancel(&self, work: &str, reason: &str) -> Result<v1::WorkStatus, Refusal> {
        let work: WorkId = parse_field("work", work)?;
        let cell = self.node.cell_of(work.shard())?;
        let now = self.node.cx.clock.now();
        let rx = cell.with_waiter(|shard, waiter| shard.cancel(waiter, &work, reason, now))?;
        match wait_for_end(rx).await {
            Some(Reply::Refused(refusal)) => Err(refusal),
            _ => self.find(&work),
        }
    }
}

#[tonic::async_trait]
impl Scheduler for SchedulerService {
    async fn issue_tickets(
        &self,
        req: Request<v1::IssueTicketsRequest>,
    ) -> RpcResult<v1::IssueTicketsResponse> {
        let req = req.into_inner();
        let now = self.node.cx.clock.now();
        let issue = |cell: &Arc<crate::cell::ShardCell>| {
            cell.with(|shard| shard.issue_tickets(req.count as usize, now))
                .flatten()
        };
        let issued = self.node.cell(&req.shard).and_then(issue);
        Ok(Response::new(match issued {
            Ok(tickets) => v1::IssueTicketsResponse {
                tickets: tickets.iter().map(ToString::to_string).collect(),
                refusal: None,
            },
            Err(refusal) => v1::IssueTicketsResponse {
                tickets: Vec::new(),
                refusal: self.refusal(&refusal, &req.shard),
            },
        }))
    }

    async fn confirm_tickets(
        &self,
        req: Request<v1::ConfirmTicketsRequest>,
    ) -> RpcResult<v1::ConfirmTicketsResponse> {
        let req = req.into_inner();
        let confirm = || {
            let cell = self.node.cell(&req.shard)?;
            for ticket in &req.tickets {
                let ticket: Ticket = parse_field("ticket", ticket)?;
                cell.with(|shard| shard.confirm_ticket(&ticket))?;
            }
            Ok(())
        };
        let refusal = confirm()
            .err()
            .and_then(|refusal| self.refusal(&refusal, &req.shard));
        Ok(Response::new(v1::ConfirmTicketsResponse { refusal }))
    }

    async fn run_request(
        &self,
        req: Request<v1::RunRequestRequest>,
    ) -> RpcResult<v1::RunRequestResponse> {
        let req = req.into_inner();
        let (outcome, repeated) = match self.run(&req).await {
            Ok((outcome, repeated)) => (outcome_to_wire(&outcome), repeated),
            Err(refusal) => {
                let refused = self.refusal(&refusal, &req.shard);
                let kind = refused.map(v1::outcome::Kind::Refused);
                (v1::Outcome { kind }, false)
            }
        };
        let outcome = Some(outcome);
        Ok(Response::new(v1::RunRequestResponse { outcome, repeated }))
    }

    async fn submit_job(
        &self,
        req: Request<v1::SubmitJobRequest>,
    ) -> RpcResult<v1::SubmitJobResponse> {
        let req = req.into_inner();
        Ok(Response::new(match self.accept(&req).await {
            Ok((view, repeated)) => v1::SubmitJobResponse {
                status: Some(work_status(&view)),
                refusal: None,
                repeated,
            },
            Err(refusal) => v1::SubmitJobResponse {
                status: None,
                refusal: self.refusal(&refusal, &req.shard),
                repeated: false,
            },
        }))
    }

    async fn get_job(&self, req: Request<v1::GetJobRequest>) -> RpcResult<v1::GetJobResponse> {
        let req = req.into_inner();
        let work = parse_field::<WorkId>("work", &req.work);
        let shard = work
            .as_ref()
            .map(|work| work.shard().to_string())
            .unwrap_or_default();
        Ok(Response::new(
            match work.and_then(|work| self.find(&work)) {
                Ok(status) => v1::GetJobResponse {
                    status: Some(status),
                    refusal: None,
                },
                Err(refusal) => v1::GetJobResponse {
                    status: None,
                    refusal: self.refusal(&refusal, &shard),
                },
            },
        ))
    }

    async fn list_jobs(
        &self,
        req: Request<v1::ListJobsRequest>,
    ) -> RpcResult<v1::ListJobsResponse> {
        let req = req.into_inner();
        let list = || {
            let team = optional_field("team", &req.team)?;
            let state = (!req.state.is_empty()).then_some(req.state.as_str());
            let limit = (req.limit as usize).clamp(1, MAX_LISTED_JOBS);
            let cell = self.node.cell(&req.shard)?;
            let views = cell.with(|shard| shard.list(team.as_ref(), state, limit + 1))?;
            Ok((views, limit))
        };
        Ok(Response::new(match list() {
            Ok((views, limit)) => v1::ListJobsResponse {
                truncated: views.len() > limit,
                jobs: views.iter().take(limit).map(work_status).collect(),
                refusal: None,
            },
            Err(refusal) => v1::ListJobsResponse {
                jobs: Vec::new(),
                refusal: self.refusal(&refusal, &req.shard),
                truncated: false,
            },
        }))
    }

    async fn cancel_jobs(
        &self,
        req: Request<v1::CancelJobsRequest>,
    ) -> RpcResult<v1::CancelJobsResponse> {
        let req = req.into_inner();
        let cancels = req.works.iter().map(|work| self.cancel(work, &req.reason));
        let results = futures_util::future::join_all(cancels).await;
        let result = |(work, result): (&String, Result<v1::WorkStatus, Refusal>)| {
            let (status, refusal) = match result {
                Ok(status) => (Some(status), None),
                Err(refusal) => (None, self.refusal(&refusal, &req.shard)),
            };
            v1::CancelResult {
                work: work.clone(),
                status,
                refusal,
            }
        };
        let results = req.works.iter().zip(results).map(result).collect();
        Ok(Response::new(v1::CancelJobsResponse {
            results,
            refusal: None,
        }))
    }

    async fn describe_shards(
        &self,
        _req: Request<v1::DescribeShardsRequest>,
    ) -> RpcResult<v1::DescribeShardsResponse> {
        let owned = self.node.cells.values();
        let views = owned.filter_map(|cell| cell.with(|shard| shard.view()).ok());
        Ok(Response::new(v1::DescribeShardsResponse {
            process: self.node.cx.settings.process.to_string(),
            policy_version: self.node.cx.policy.version().get(),
            shards: views.map(|view| shard_status(&view)).collect(),
        }))
    }
}

fn required<'a, T>(name: &str, part: Option<&'a T>) -> Result<&'a T, Refusal> {
    part.ok_or_else(|| Refusal::new(ResultCode::Malformed, format!("{name} is missing")))
}

/// Returns the refusal for a caller that was waiting when the ownership ended.
fn owner_changed() -> Refusal {
    let text = "the owner of the shard changed before the outcome was known";
    Refusal::new(ResultCode::AnswerLost, text)
}

async fn wait_for_end(rx: oneshot::Receiver<Reply>) -> Option<Reply> {
    let ended = tokio::time::timeout(CANCEL_TIMEOUT.to_duration(), rx).await;
    ended.ok().and_then(Result::ok)
}
