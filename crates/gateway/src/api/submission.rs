//! Life cycle of a request that starts work: received, admitted, answered. Only an admitted one can be sent, and only
//! an answered one has a response.

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
use lagoon_wire::{convert, v1};
use serde_json::json;

use crate::access::Caller;
use crate::api::job_body::JobBody;
use crate::api::job_view::JobView;
use crate::api::key::{read_key, require_key};
use crate::api::outcome_view::OutcomeView;
use crate::api::parse::{parse_json, require};
use crate::api::request_body::RequestBody;
use crate::api::{Api, ApiError};
use crate::forward::{Client, Repeat, Target};
use crate::limit::{Held, TeamPermit};

/// Request in state `S`.
struct Submission<S> {
    state: S,
}

/// Arrived whole; nothing is checked.
struct Received {
    caller: Caller,
    headers: HeaderMap,
    body: Bytes,
}

/// Checked; may be sent.
struct Admitted<M> {
    permit: TeamPermit,
    target: Target,
    repeat: Repeat,
    message: M,
}

/// Answered by the owner.
struct Answered<R> {
    permit: TeamPermit,
    answer: R,
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
    let took = api.clock.now().since(started);
    api.metrics
        .time("requests.answered", "requests.total_ms", took);
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
        let caller = api.access.identify(&headers)?;
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
        self.state.caller.require(&body.team)?;
        let ticket = body.ticket.clone();
        let one = ticket.is_none() || key.is_none();
        require(one, "expected a ticket or an Idempotency-Key, not both")?;
        let keyed = body.home.is_none() || key.is_some();
        require(keyed, "home: expected only with an Idempotency-Key")?;
        let (target, repeat) = match (&ticket, &key) {
            (Some(ticket), _) => (Target::Shard(ticket.shard().clone()), Repeat::Safe),
            (None, Some(key)) => {
                let shard = api.homes.shard(body.home.clone(), key)?;
                (Target::Home(shard), Repeat::Safe)
            }
            (None, None) => (Target::AnyServing, Repeat::Never),
        };
        let permit = api.in_flight.enter_team(&body.team)?;
        let message = v1::RunRequestRequest {
            shard: String::new(),
            ticket: ticket.map(|ticket| ticket.to_string()).unwrap_or_default(),
            key: key.map(|key| key.to_string()).unwrap_or_default(),
            spec: Some(convert::spec_to_wire(&body.into_spec(api.clock.now()))),
        };
        Ok(Submission::admitted(permit, target, repeat, message))
    }

    fn admit_job(self, api: &Api) -> Result<Submission<Admitted<v1::SubmitJobRequest>>, Refusal> {
        let key = require_key(&self.state.headers)?;
        let body: JobBody = parse_json(&self.state.body)?;
        self.state.caller.require(&body.team)?;
        let (given, team) = (body.home.clone(), body.team.clone());
        let spec = body.into_spec(api.clock.now())?;
        let target = Target::Home(api.homes.shard(given, &key)?);
        let permit = api.in_flight.enter_team(&team)?;
        let message = v1::SubmitJobRequest {
            shard: String::new(),
            key: key.to_string(),
            spec: Some(convert::spec_to_wire(&spec)),
        };
        Ok(Submission::admitted(permit, target, Repeat::Safe, message))
    }
}

impl<M> Submission<Admitted<M>> {
    fn admitted(permit: TeamPermit, target: Target, repeat: Repeat, message: M) -> Self {
        let state = Admitted {
            permit,
            target,
            repeat,
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
            repeat,
            message,
        } = self.state;
        let call = |mut client: Client, shard: ShardId| {
            let mut message = message.clone();
            message.shard = shard.to_string();
            async move {
                let answer = client.run_request(message).await?.into_inner();
                Ok(split_refusal(answer))
            }
        };
        let limit = api.request_timeout;
        let answer = api.forwarder.send(&target, repeat, limit, call).await?;
        let state = Answered { permit, answer };
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
            repeat,
            message,
        } = self.state;
        let call = |mut client: Client, shard: ShardId| {
            let mut message = message.clone();
            message.shard = shard.to_string();
            async move {
                let mut answer = client.submit_job(message).await?.into_inner();
                Ok(answer.refusal.take().map_or(Ok(answer), Err))
            }
        };
        let limit = api.request_timeout;
        let answer = api.forwarder.send(&target, repeat, limit, call).await?;
        let state = Answered { permit, answer };
        Ok(Submission { state })
    }
}

impl Submission<Answered<v1::RunRequestResponse>> {
    fn response(self) -> Response {
        let Answered { permit, answer } = self.state;
        let empty = v1::Outcome::default();
        let response = match convert::outcome_from_wire(answer.outcome.as_ref().unwrap_or(&empty)) {
            Outcome::Refused(refusal) => ErrorBody::response(&refusal),
            outcome => Json(OutcomeView::from(outcome)).into_response(),
        };
        Held::response(response, permit)
    }
}

impl Submission<Answered<v1::SubmitJobResponse>> {
    fn response(self) -> Result<Response, Refusal> {
        let Answered { permit, answer } = self.state;
        let missing = || {
            let message = "the scheduler's answer has no state";
            Refusal::new(ResultCode::AnswerLost, message)
        };
        let (view, _) = JobView::from_wire(answer.status.ok_or_else(missing)?)?;
        let mut body = json!(view);
        body["repeated"] = json!(answer.repeated);
        let response = (StatusCode::OK, Json(body)).into_response();
        Ok(Held::response(response, permit))
    }
}

/// Takes a refusal out of the outcome, so that the rule for repetitions sees it with the owner's address.
fn split_refusal(answer: v1::RunRequestResponse) -> Result<v1::RunRequestResponse, v1::Refusal> {
    match answer.outcome {
        Some(v1::Outcome {
            kind: Some(v1::outcome::Kind::Refused(refusal)),
        }) => Err(refusal),
        outcome => Ok(v1::RunRequestResponse { outcome, ..answer }),
    }
}
