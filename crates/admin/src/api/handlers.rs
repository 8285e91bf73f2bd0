use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use lagoon_core::{Refusal, ResultCode};

use crate::api::parse::{parse_command, parse_json, parse_query};
use crate::api::statement_request::StatementRequest;
use crate::api::{ApiError, ApiState};
use crate::change::{ApplyRequest, ApplyResponse, Preview};
use crate::query::QueryResponse;

/// Handles `POST /v1/query`.
pub(super) async fn query(
    State(api): State<Arc<ApiState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<QueryResponse>, ApiError> {
    api.operators.authenticate(&headers)?;
    let body: StatementRequest = parse_json(&body)?;
    let query = parse_query(&body.text)?;
    Ok(Json(api.queries.run(&query).await?))
}

/// Handles `POST /v1/preview`.
pub(super) async fn preview(
    State(api): State<Arc<ApiState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<Preview>, ApiError> {
    api.operators.authenticate(&headers)?;
    let body: StatementRequest = parse_json(&body)?;
    let command = parse_command(&body.text)?;
    Ok(Json(api.planner.preview(&command).await?))
}

/// Handles `POST /v1/apply`. The command runs in its own task, so it completes and is recorded even if the connection
/// breaks.
pub(super) async fn apply(
    State(api): State<Arc<ApiState>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<ApplyResponse>, ApiError> {
    let operator = api.operators.authenticate(&headers)?;
    let req: ApplyRequest = parse_json(&body)?;
    let command = parse_command(&req.text)?;
    let applier = api.applier.clone();
    let task = tokio::spawn(async move { applier.apply(&operator, &command, &req).await });
    let ended = |_| Refusal::new(ResultCode::AnswerLost, "the command ended without a result");
    Ok(Json(task.await.map_err(ended)??))
}
