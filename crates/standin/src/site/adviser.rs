use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use axum::extract::State;
use axum::routing::post;
use axum::{Json, Router};
use serde_json::{Value, json};

/// Delay of the responses in milliseconds.
pub(super) type SharedDelay = Arc<AtomicU64>;

/// Returns the router of an adviser that approves about half of the executors. The choice depends only on the executor's
/// id, so that advice is stable.
pub(super) fn router(delay: SharedDelay) -> Router {
    Router::new()
        .route("/v1/advise", post(advise))
        .with_state(delay)
}

async fn advise(State(delay): State<SharedDelay>, Json(body): Json<Value>) -> Json<Value> {
    tokio::time::sleep(Duration::from_millis(delay.load(Relaxed))).await;
    let workers = body["workers"].as_array().cloned().unwrap_or_default();
    let ids = workers.iter().filter_map(Value::as_str);
    let approved = ids.filter(|id| id.bytes().map(u32::from).sum::<u32>() % 2 == 0);
    let rows: Vec<Value> = approved
        .map(|id| json!([id, format!("ticket-{id}")]))
        .collect();
    Json(json!({"good": rows, "valid_ms": 1_500}))
}
