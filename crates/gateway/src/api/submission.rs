//! Life cycle of a submission, a request that starts work, as a typestate: received, admitted, answered. Only an
//! admitted submission can be sent, and only an answered one has a response.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::{IntoResponse, Response};
use axum::{Json, http::StatusCode};
use lagoon_core::id::ShardId;
use lagoon_core::work::Outcome;
use lagoon_core::{Refusal, ResultCode};
use lagoon_process::answer::ErrorBody;
use lagoon_process::server::GuardedBody;
use lagoon_wire::{convert, v1};
use serde_json::json;

use crate::access::Caller;
use crate::api::job_body::JobBody;
use crate::api::job_view::JobView;
use crate::api::key::{read_key, require_key};
use crate::api::outcome_view::OutcomeView;
use crate::api::parse::{ensure, parse_json};
use crate::api::request_body::RequestBody;
use crate::api::{Api, ApiError};
use crate::forward::{Client, RetryPolicy, Target};
use crate::limit::TeamPermit;

/// Submission in state `S`.
struct Submission<S> {
    state: S,
}

/// Received completely and not validated.
struct Received {
    caller: Caller,
    headers: HeaderMap,
    body: Bytes,
}

/// Validated and counted against the team's limit.
struct Admitted<M> {
    permit: TeamPermit,
    target: Target,
    retry_policy: RetryPolicy,
    message: M,
}

/// Answered by the owner of the shard.
struct Answered<R> {
    permit: TeamPermit,
    response: R,
}

/// Handles `POST /v1/requests`.
pub(crate) async fn run_request(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    let started = api.clock.now();
    let received = Submission::receive(&api, headers, body)?;
    let answered = received.admit_request(&api)?.run(&api).await?;
    let elapsed = api.clock.now().since(started);
    api.metrics
        .time("requests.answered", "requests.total_ms", elapsed);
    Ok(answered.response())
}

/// Handles `POST /v1/jobs`.
pub(crate) async fn submit_job(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    let received = Submission::receive(&api, headers, body)?;
    let answered = received.admit_job(&api)?.submit(&api).await?;
    api.metrics.count("jobs.accepted", 1);
    Ok(answered.response()?)
}

impl Submission<Received> {
    fn receive(api: &Api, headers: HeaderMap, body: Bytes) -> Result<Self, Refusal> {
        let caller = api.access.authenticate(&headers)?;
        let state = Received {
            caller,
            headers,
            body,
        };
        Ok(Self { state })
    }

    fn admit_request(
        self,
        api: &Api,
    ) -> Result<Submission<Admitted<v1::RunRequestRequest>>, Refusal> {
        let key = read_key(&self.state.headers)?;
        let body: RequestBody = parse_json(&self.state.body)?;
        self.state.caller.authorize(&body.team)?;
        let ticket = body.ticket.clone();
        let single_identity = ticket.is_none() || key.is_none();
        ensure(
            single_identity,
            "expected a ticket or an Idempotency-Key, not both",
        )?;
        let home_allowed = body.home.is_none() || key.is_some();
        ensure(home_allowed, "home: expected only with an Idempotency-Key")?;
        let (target, retry_policy) = match (&ticket, &key) {
            (Some(ticket), _) => (
                Target::Shard(ticket.shard().clone()),
                RetryPolicy::Idempotent,
            ),
            (None, Some(key)) => {
                let shard = api.home_resolver.shard(body.home.clone(), key)?;
                (Target::Home(shard), RetryPolicy::Idempotent)
            }
            (None, None) => (Target::AnyServing, RetryPolicy::AtMostOnce),
        };
        let permit = api.in_flight.acquire_team(&body.team)?;
        let message = v1::RunRequestRequest {
            shard: String::new(),
            ticket: ticket.map(|ticket| ticket.to_string()).unwrap_or_default(),
            key: key.map(|key| key.to_string()).unwrap_or_default(),
            spec: Some(convert::spec_to_wire(&body.into_spec(api.clock.now()))),
        };
        Ok(Submission::admitted(permit, target, retry_policy, message))
    }

    fn admit_job(self, api: &Api) -> Result<Submission<Admitted<v1::SubmitJobRequest>>, Refusal> {
        let key = require_key(&self.state.headers)?;
        let body: JobBody = parse_json(&self.state.body)?;
        self.state.caller.authorize(&body.team)?;
        let (home, team) = (body.home.clone(), body.team.clone());
        let spec = body.into_spec(api.clock.now())?;
        let target = Target::Home(api.home_resolver.shard(home, &key)?);
        let permit = api.in_flight.acquire_team(&team)?;
        let message = v1::SubmitJobRequest {
            shard: String::new(),
            key: key.to_string(),
            spec: Some(convert::spec_to_wire(&spec)),
        };
        Ok(Submission::admitted(
            permit,
            target,
            RetryPolicy::Idempotent,
            message,
        ))
    }
}

impl<M> Submission<Admitted<M>> {
    fn admitted(permit: TeamPermit, target: Target, retry_policy: RetryPolicy, message: M) -> Self {
        let state = Admitted {
            permit,
            target,
            retry_policy,
            message,
        };
        Self { state }
    }
}

impl Submission<Admitted<v1::RunRequestRequest>> {
    async fn run(self, api: &Api) -> Result<Submission<Answered<v1::RunRequestResponse>>, Refusal> {
        let Admitted {
            permit,
            target,
            retry_policy,
            message,
        } = self.state;
        let call = |mut client: Client, shard: ShardId| {
            let mut message = message.clone();
            message.shard = shard.to_string();
            async move {
                let response = client.run_request(message).await?.into_inner();
                Ok(extract_refusal(response))
            }
        };
        let timeout = api.request_timeout;
        let response = api
            .forwarder
            .send(&target, retry_policy, timeout, call)
            .await?;
        let state = Answered { permit, response };
        Ok(Submission { state })
    }
}

impl Submission<Admitted<v1::SubmitJobRequest>> {
    async fn submit(
        self,
        api: &Api,
    ) -> Result<Submission<Answered<v1::SubmitJobResponse>>, Refusal> {
        let Admitted {
            permit,
            target,
            retry_policy,
            message,
        } = self.state;
        let call = |mut client: Client, shard: ShardId| {
            let mut message = message.clone();
            message.shard = shard.to_string();
            async move {
                let mut response = client.submit_job(message).await?.into_inner();
                Ok(response.refusal.take().map_or(Ok(response), Err))
            }
        };
        let timeout = api.request_timeout;
        let response = api
            .forwarder
            .send(&target, retry_policy, timeout, call)
            .await?;
        let state = Answered { permit, response };
        Ok(Submission { state })
    }
}

impl Submission<Answered<v1::RunRequestResponse>> {
    fn response(self) -> Response {
        let Answered { permit, response } = self.state;
        let empty = v1::Outcome::default();
        let response = match convert::outcome_from_wire(response.outcome.as_ref().unwrap_or(&empty))
        {
            Outcome::Refused(refusal) => ErrorBody::response(&refusal),
            outcome => Json(OutcomeView::from(outcome)).into_response(),
        };
        GuardedBody::attach(response, permit)
    }
}

impl Submission<Answered<v1::SubmitJobResponse>> {
    fn response(self) -> Result<Response, Refusal> {
        let Answered { permit, response } = self.state;
        let missing = || {
            let message = "invalid response of the scheduler: no job status";
            Refusal::new(ResultCode::AnswerLost, message)
        };
        let (view, _) = JobView::from_wire(response.status.ok_or_else(missing)?)?;
        let mut body = json!(view);
        body["repeated"] = json!(response.repeated);
        let response = (StatusCode::OK, Json(body)).into_response();
        Ok(GuardedBody::attach(response, permit))
    }
}

/// Returns a refused outcome as an error, so that the forwarder's retry decision applies to it.
fn extract_refusal(
    response: v1::RunRequestResponse,
) -> Result<v1::RunRequestResponse, v1::Refusal> {
    match response.outcome {
        Some(v1::Outcome {
            kind: Some(v1::outcome::Kind::Refused(refusal)),
        }) => Err(refusal),
        outcome => Ok(v1::RunRequestResponse {
            outcome,
            ..response
        }),
    }
}
