use axum::routing::post;
use axum::{Json, Router};
use serde_json::{Value, json};

/// Returns the router of an adviser that responds immediately and approves about half of the executors. The choice
/// depends only on the executor's id, so that advice is stable.
pub(super) fn router() -> Router {
    Router::new().route("/v1/advise", post(advise))
}

async fn advise(Json(body): Json<Value>) -> Json<Value> {
    let workers = body["workers"].as_array().cloned().unwrap_or_default();
    let ids = workers.iter().filter_map(Value::as_str);
    let approved = ids.filter(|id| id.bytes().map(u32::from).sum::<u32>() % 2 == 0);
    let rows: Vec<Value> = approved
        .map(|id| json!([id, format!("ticket-{id}")]))
        .collect();
    Json(json!({"good": rows, "valid_ms": 1_500}))
}
