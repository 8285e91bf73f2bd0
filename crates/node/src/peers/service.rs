use lagoon_adapter::api::CancelReply;
use lagoon_core::unit::Millis;
use lagoon_jobs::id::{ExecutorId, JobId, StepKey};
use lagoon_jobs::job::JobRecord;
use lagoon_wire::v1::cancel_job_response::Outcome;
use lagoon_wire::v1::cell_peer_server::CellPeer;
use lagoon_wire::v1::{
    AdviceTicket, AskAdviserRequest, AskAdviserResponse, CancelJobRequest, CancelJobResponse,
    GetBacklogRequest, GetBacklogResponse, GetJobStateRequest, GetJobStateResponse,
    GetOwnerRequest, GetOwnerResponse, NotifyJobRequest, NotifyJobResponse, QueueBacklog,
    StoreJobRequest, StoreJobResponse,
};
use tonic::{Request, Response, Status};

use crate::api::{StoreOutcome, cancel_job, store_job};
use crate::context::Context;
use crate::owner::ShardHandle;

/// Service for calls of other members.
#[derive(Debug, Clone)]
pub(crate) struct PeerService {
    cx: Context,
    shard_handle: ShardHandle,
}

impl PeerService {
    pub(crate) fn new(cx: Context, shard_handle: ShardHandle) -> Self {
        Self { cx, shard_handle }
    }
}

#[tonic::async_trait]
impl CellPeer for PeerService {
    async fn get_job_state(
        &self,
        req: Request<GetJobStateRequest>,
    ) -> Result<Response<GetJobStateResponse>, Status> {
        let id: JobId = parse(&req.into_inner().job)?;
        let Some(shard) = self.shard_handle.shard() else {
            return Ok(Response::new(GetJobStateResponse::default()));
        };
        let state = shard.job_state(id).await;
        Ok(Response::new(GetJobStateResponse {
            state: state.map(|state| state.to_string()),
            is_owner: true,
        }))
    }

    async fn get_backlog(
        &self,
        _req: Request<GetBacklogRequest>,
    ) -> Result<Response<GetBacklogResponse>, Status> {
        let Some(shard) = self.shard_handle.shard() else {
            return Ok(Response::new(GetBacklogResponse::default()));
        };
        let backlog = shard.with(|dispatcher| dispatcher.backlog());
        let queues = backlog
            .queues
            .into_iter()
            .map(|(queue, load)| QueueBacklog {
                queue: queue.to_string(),
                waiting: load.waiting,
                wait_ms: load.wait.get(),
            });
        Ok(Response::new(GetBacklogResponse {
            is_owner: true,
            queues: queues.collect(),
        }))
    }

    async fn notify_job(
        &self,
        req: Request<NotifyJobRequest>,
    ) -> Result<Response<NotifyJobResponse>, Status> {
        let req = req.into_inner();
        let id: JobId = parse(&req.job)?;
        self.shard_handle
            .notify(id, &req.record, self.cx.clock.now());
        Ok(Response::new(NotifyJobResponse {}))
    }

    async fn store_job(
        &self,
        req: Request<StoreJobRequest>,
    ) -> Result<Response<StoreJobResponse>, Status> {
        let req = req.into_inner();
        let id: JobId = parse(&req.job)?;
        if !self.cx.has_store() {
            tracing::info!(job = %id, "peers: job of another member not stored because the store does not answer this one either");
            return Ok(Response::new(StoreJobResponse::default()));
        }
        let record: JobRecord = serde_json::from_slice(&req.record)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let mut cancelled = false;
        let stored = match store_job(&self.cx, id, record).await {
            StoreOutcome::Stored(_, record) => {
                self.shard_handle.notify(id, &record, self.cx.clock.now());
                true
            }
            StoreOutcome::AlreadyStored => true,
            StoreOutcome::Cancelled => {
                cancelled = true;
                false
            }
            StoreOutcome::NotStored(e) => {
                tracing::warn!(job = %id, "peers: job of another member not stored: {e}");
                false
            }
            StoreOutcome::Contended => {
                tracing::warn!(job = %id, "peers: job of another member not stored because the owner changed repeatedly");
                false
            }
            StoreOutcome::Unknown(e) => return Err(Status::deadline_exceeded(e.to_string())),
        };
        tracing::info!(job = %id, stored, cancelled, "peers: request of another member to store a job handled");
        Ok(Response::new(StoreJobResponse { stored, cancelled }))
    }

    async fn cancel_job(
        &self,
        req: Request<CancelJobRequest>,
    ) -> Result<Response<CancelJobResponse>, Status> {
        let id: JobId = parse(&req.into_inner().job)?;
        let outcome = match cancel_job(&self.cx, id).await {
            CancelReply::Cancelled => Outcome::Cancelled,
            CancelReply::Absent => Outcome::Absent,
            // Another member may have a smaller load.
            CancelReply::Overloaded { .. } | CancelReply::Unknown => Outcome::Unknown,
        };
        tracing::info!(job = %id, ?outcome, "peers: request of another member to cancel a job handled");
        Ok(Response::new(CancelJobResponse {
            outcome: outcome.into(),
        }))
    }

    async fn get_owner(
        &self,
        _req: Request<GetOwnerRequest>,
    ) -> Result<Response<GetOwnerResponse>, Status> {
        let cell = self.cx.current_cell();
        let response = cell.owner.as_ref().map(|owner| GetOwnerResponse {
            member: Some(owner.member.to_string()),
            address: owner.address.to_string(),
            epoch: owner.epoch.get(),
        });
        Ok(Response::new(response.unwrap_or_default()))
    }

    async fn ask_adviser(
        &self,
        req: Request<AskAdviserRequest>,
    ) -> Result<Response<AskAdviserResponse>, Status> {
        let req = req.into_inner();
        let step: StepKey = parse(&req.step)?;
        let executors: Result<Vec<ExecutorId>, Status> =
            req.executors.iter().map(|id| parse(id)).collect();
        let cost = Millis::new(req.cost_ms);
        let response = match self.cx.adviser.ask(step, &executors?, cost).await {
            Ok(advised) => AskAdviserResponse {
                answered: true,
                good: advised
                    .good
                    .into_iter()
                    .map(|(executor, ticket)| AdviceTicket {
                        executor: executor.to_string(),
                        ticket: ticket.to_string(),
                    })
                    .collect(),
                valid_ms: advised.valid.get(),
            },
            Err(e) => {
                tracing::warn!(%step, "peers: adviser did not answer a request of another member: {e}");
                AskAdviserResponse::default()
            }
        };
        Ok(Response::new(response))
    }
}

fn parse<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, Status> {
    text.parse()
        .map_err(|e: T::Err| Status::invalid_argument(e.to_string()))
}
