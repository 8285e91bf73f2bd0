use std::sync::Arc;

use lagoon_wire::v1;
use lagoon_wire::v1::apply_request::Change;
use lagoon_wire::v1::operator_server::Operator;
use lagoon_wire::v1::peer_server::Peer;
use lagoon_wire::v1::scheduler_server::Scheduler;
use tonic::{Request, Response, Status};

use crate::util::fake_scheduler::State;

type Answer<T> = Result<Response<T>, Status>;

/// gRPC services of a fake scheduler. Calls that an admin process never makes are not implemented.
#[derive(Debug, Clone)]
pub(super) struct Services(pub(super) Arc<State>);

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
