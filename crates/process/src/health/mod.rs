//! Health endpoints: `GET /healthz` reports that the process is running, `GET /readyz` whether it accepts requests.

mod readiness;

use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde_json::json;

pub use self::readiness::Readiness;

/// Returns a router that serves both endpoints.
pub fn router(readiness: &Readiness) -> Router {
    let readiness = readiness.clone();
    let ready = move || async move {
        match readiness.reason() {
            None => (StatusCode::OK, Json(json!({"ready": true}))),
            Some(reason) => {
                let body = json!({"ready": false, "reason": reason});
                (StatusCode::SERVICE_UNAVAILABLE, Json(body))
            }
        }
    };
    let healthy = || async { Json(json!({"healthy": true})) };
    Router::new()
        .route("/healthz", get(healthy))
        .route("/readyz", get(ready))
}
