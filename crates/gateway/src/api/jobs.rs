use std::sync::Arc;

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::http::HeaderMap;
use lagoon_core::id::{ShardId, WorkId};
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::v1;

use crate::access::Caller;
use crate::api::job_list::JobList;
use crate::api::job_view::JobView;
use crate::api::list_query::ListQuery;
use crate::api::{Api, ApiError};
use crate::forward::{Client, RetryPolicy, Target};

/// Handles `GET /v1/jobs/{work}`.
pub(crate) async fn show(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    Path(work): Path<String>,
) -> Result<Json<JobView>, ApiError> {
    let caller = api.access.authenticate(&headers)?;
    Ok(Json(fetch_job(&api, &caller, &parse_work(&work)?).await?))
}

/// Handles `DELETE /v1/jobs/{work}`: cancels the job and returns its state.
pub(crate) async fn cancel(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    Path(work): Path<String>,
) -> Result<Json<JobView>, ApiError> {
    let caller = api.access.authenticate(&headers)?;
    let work = parse_work(&work)?;
    if caller.teams().is_some() {
        // Returns an error unless the caller may access the job.
        fetch_job(&api, &caller, &work).await?;
    }
    let id = work.to_string();
    let call = |mut client: Client, shard: ShardId| {
        let message = v1::CancelJobsRequest {
            shard: shard.to_string(),
            works: vec![id.clone()],
            reason: "cancelled by the caller".to_owned(),
        };
        async move {
            let response = client.cancel_jobs(message).await?.into_inner();
            Ok(first_status(response))
        }
    };
    let target = Target::Shard(work.shard().clone());
    let timeout = api.request_timeout;
    let status = api
        .forwarder
        .send(&target, RetryPolicy::Idempotent, timeout, call)
        .await?;
    let (view, _) = JobView::from_wire(status.unwrap_or_default())?;
    Ok(Json(view))
}

/// Handles `GET /v1/jobs`.
pub(crate) async fn list(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    query: Result<Query<ListQuery>, QueryRejection>,
) -> Result<Json<JobList>, ApiError> {
    let caller = api.access.authenticate(&headers)?;
    let Query(query) = query.map_err(|e| ListQuery::refusal_for(&e))?;
    query.check()?;
    if let Some(team) = &query.team {
        caller.authorize(team)?;
    }
    Ok(Json(JobList::collect(&api, &caller, &query).await?))
}

async fn fetch_job(api: &Api, caller: &Caller, work: &WorkId) -> Result<JobView, Refusal> {
    let id = work.to_string();
    let call = |mut client: Client, _: ShardId| {
        let message = v1::GetJobRequest { work: id.clone() };
        async move {
            let mut response = client.get_job(message).await?.into_inner();
            Ok(response.refusal.take().map_or(Ok(response), Err))
        }
    };
    let target = Target::Shard(work.shard().clone());
    let timeout = api.request_timeout;
    let response = api
        .forwarder
        .send(&target, RetryPolicy::Idempotent, timeout, call)
        .await?;
    let (view, spec) = JobView::from_wire(response.status.unwrap_or_default())?;
    let visible = match &spec {
        Some(spec) => caller.can_access(&spec.team),
        None => caller.teams().is_none(),
    };
    // Same error as for work that doesn't exist, so that callers can't probe for ids of other teams.
    let unknown = || {
        Refusal::new(
            ResultCode::UnknownWork,
            format!("no work has the id {work}"),
        )
    };
    visible.then_some(view).ok_or_else(unknown)
}

fn first_status(response: v1::CancelJobsResponse) -> Result<Option<v1::WorkStatus>, v1::Refusal> {
    if let Some(refusal) = response.refusal {
        return Err(refusal);
    }
    match response.results.into_iter().next() {
        Some(v1::CancelResult {
            refusal: Some(refusal),
            ..
        }) => Err(refusal),
        result => Ok(result.and_then(|result| result.status)),
    }
}

fn parse_work(text: &str) -> Result<WorkId, Refusal> {
    let invalid = |e| Refusal::new(ResultCode::InvalidValue, format!("{e}"));
    text.parse().map_err(invalid)
}
