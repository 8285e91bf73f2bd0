use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use lagoon_core::{Refusal, ResultCode};
use lagoon_jobs::id::JobId;
use lagoon_process::answer::ErrorBody;
use serde_json::json;

use crate::context::Context;
use crate::operator::cell_report::CellReport;
use crate::owner::ShardHandle;

#[derive(Debug, Clone)]
struct RouterState {
    cx: Context,
    shard_handle: ShardHandle,
}

/// Returns the routes for operators: the cell on every node, executors and jobs on the owner.
pub(crate) fn router(cx: Context, shard_handle: ShardHandle) -> Router {
    Router::new()
        .route("/v1/cell", get(cell))
        .route("/v1/executors", get(executors))
        .route("/v1/jobs/{id}", get(job))
        .with_state(RouterState { cx, shard_handle })
}

async fn cell(State(op): State<RouterState>) -> Json<CellReport> {
    let view = op.cx.current_cell();
    let serving = op.shard_handle.shard().map(|shard| {
        shard.with(|dispatcher| {
            let queues = dispatcher.backlog().queues.into_iter();
            let waiting = queues.map(|(queue, load)| (queue, load.waiting)).collect();
            (dispatcher.epoch(), waiting)
        })
    });
    let (serves_as, waiting) = serving.unzip();
    Json(CellReport {
        member: op.cx.member().clone(),
        has_store: op.cx.has_store(),
        configuration: op.cx.current_policy().map(|policy| policy.version()),
        owner: view.owner.clone(),
        serves_as,
        members: view.members.values().cloned().collect(),
        waiting: waiting.unwrap_or_default(),
    })
}

async fn executors(State(op): State<RouterState>) -> Response {
    let Some(shard) = op.shard_handle.shard() else {
        return not_owner(&op);
    };
    let now = op.cx.clock.now();
    let executors = shard.with(|dispatcher| dispatcher.report_executors(now));
    Json(json!({ "executors": executors })).into_response()
}

async fn job(State(op): State<RouterState>, Path(id): Path<String>) -> Response {
    let Ok(id) = id.parse::<JobId>() else {
        let text = format!("job id {id:?} is not valid; expected 16 hexadecimal digits");
        return ErrorBody::response(&Refusal::new(ResultCode::Malformed, text));
    };
    let Some(shard) = op.shard_handle.shard() else {
        return not_owner(&op);
    };
    let now = op.cx.clock.now();
    match shard.with(|dispatcher| dispatcher.report_job(id, now)) {
        Some(report) => Json(report).into_response(),
        None => {
            let text = format!(
                "job {id} does not exist, or has ended and was removed after the retention"
            );
            ErrorBody::response(&Refusal::new(ResultCode::UnknownWork, text))
        }
    }
}

/// Refuses a request that only the owner can answer, and names the owner.
fn not_owner(op: &RouterState) -> Response {
    let owner = op.cx.current_cell().owner.clone();
    let text = match owner {
        Some(owner) => format!(
            "ask the owner of the cell, {}; {} does not place work",
            owner.member,
            op.cx.member()
        ),
        None => "the cell currently has no owner".to_owned(),
    };
    ErrorBody::response(&Refusal::new(ResultCode::NotOwner, text))
}
