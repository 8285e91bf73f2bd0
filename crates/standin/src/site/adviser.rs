use axum::routing::post;
use axum::{Json, Router};
use serde_json::{Value, json};

/// Answers at once; every second executor of those named is good, judged by its id, so that answers never change.
pub(super) fn router() -> Router {
    Router::new().route("/v1/advise", post(advise))
}

async fn advise(Json(body): Json<Value>) -> Json<Value> {
    let named = body["workers"].as_array().cloned().unwrap_or_default();
    let ids = named.iter().filter_map(Value::as_str);
    let good = ids.filter(|id| id.bytes().map(u32::from).sum::<u32>() % 2 == 0);
    let rows: Vec<Value> = good.map(|id| json!([id, format!("ticket-{id}")])).collect();
    Json(json!({"good": rows, "valid_ms": 1_500}))
}
