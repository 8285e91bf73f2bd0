use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::site::executor_state::ExecutorState;

/// Time between two looks for an end while a call waits for one.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Header that names the executor that a call is for.
const EXPECTED_EXECUTOR: &str = "x-lagoonspindle-expected-instance";

pub(super) type Shared = Arc<Mutex<ExecutorState>>;

pub(super) fn router(state: Shared) -> Router {
    Router::new()
        .route("/v1/run-start", post(start))
        .route("/v1/run-stop", post(stop))
        .route("/v1/hold", post(hold))
        .with_state(state)
}

pub(super) fn lock(state: &Shared) -> MutexGuard<'_, ExecutorState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn start(
    State(state): State<Shared>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let mut state = lock(&state);
    if !is_meant(&state, &headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    if !state.fence(number(&body, "fencing_token")) {
        return refusal(&state, "fence");
    }
    // The real executor knows what a task needs from its job; here the payload says it.
    let text = body["spec"].as_str().unwrap_or_default();
    let cpu = text
        .split_whitespace()
        .find_map(|word| word.strip_prefix("cpu=")?.parse().ok());
    let started = state.start(
        body["task"].as_str().unwrap_or_default(),
        number(&body, "run"),
        text,
        cpu.unwrap_or(1_000),
        number(&body, "expires_ms"),
    );
    match started {
        Ok(()) => Json(json!({"timestamp_ms": state.clock_ms()})).into_response(),
        Err(reason) => refusal(&state, reason),
    }
}

async fn stop(State(state): State<Shared>, Json(body): Json<Value>) -> Response {
    let mut state = lock(&state);
    if !state.fence(number(&body, "fencing_token")) {
        return refusal(&state, "fence");
    }
    state.stop(
        body["task"].as_str().unwrap_or_default(),
        number(&body, "run"),
    );
    Json(json!({"timestamp_ms": state.clock_ms()})).into_response()
}

async fn hold(
    State(shared): State<Shared>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    {
        let mut state = lock(&shared);
        if !is_meant(&state, &headers) {
            return StatusCode::MISDIRECTED_REQUEST.into_response();
        }
        if !state.fence(number(&body, "fencing_token")) {
            return refusal(&state, "fence");
        }
        state.acknowledge(number(&body, "acked_upto"));
        if body["expires_ms"].is_u64() {
            state.extend(number(&body, "expires_ms"));
        }
    }
    let until = Instant::now() + Duration::from_millis(number(&body, "wait_ms"));
    loop {
        {
            let mut state = lock(&shared);
            state.settle();
            if state.has_ends() || Instant::now() >= until {
                return Json(state.lists()).into_response();
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Tells whether a call is for this executor and not for one that had its address before.
fn is_meant(state: &ExecutorState, headers: &HeaderMap) -> bool {
    headers
        .get(EXPECTED_EXECUTOR)
        .is_none_or(|id| id.as_bytes() == state.id.as_bytes())
}

fn number(body: &Value, field: &str) -> u64 {
    body[field].as_u64().unwrap_or_default()
}

fn refusal(state: &ExecutorState, reason: &str) -> Response {
    let body = json!({"timestamp_ms": state.clock_ms(), "reason": reason});
    (StatusCode::CONFLICT, Json(body)).into_response()
}
