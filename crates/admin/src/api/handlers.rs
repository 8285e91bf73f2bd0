use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use lagoon_core::{Refusal, ResultCode};

use crate::api::parse::{parse_command, parse_json, parse_query};
use crate::api::text_body::TextBody;
use crate::api::{Api, ApiError};
use crate::change::{Applied, ApplyRequest, Preview};
use crate::query::Answer;

/// Handles `POST /v1/query`.
pub(super) async fn query(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<Answer>, ApiError> {
    api.operators.identify(&headers)?;
    let body: TextBody = parse_json(&body)?;
    let query = parse_query(&body.text)?;
    Ok(Json(api.queries.run(&query).await?))
}

/// Handles `POST /v1/preview`.
pub(super) async fn preview(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<Preview>, ApiError> {
    api.operators.identify(&headers)?;
    let body: TextBody = parse_json(&body)?;
    let command = parse_command(&body.text)?;
    Ok(Json(api.planner.preview(&command).await?))
}

/// Handles `POST /v1/apply`. The command runs to its end and is recorded even if the operator's connection breaks.
pub(super) async fn apply(
    State(api): State<Arc<Api>>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<Applied>, ApiError> {
    let operator = api.operators.identify(&headers)?;
    let req: ApplyRequest = parse_json(&body)?;
    let command = parse_command(&req.text)?;
    let applier = api.applier.clone();
    let task = tokio::spawn(async move { applier.apply(&operator, &command, &req).await });
    let ended = |_| Refusal::new(ResultCode::AnswerLost, "the command ended without a result");
    Ok(Json(task.await.map_err(ended)??))
}
