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

/// Interval at which a waiting hold request checks for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Header with the id of the executor that a request is addressed to.
const EXPECTED_EXECUTOR_HEADER: &str = "x-lagoonspindle-expected-instance";

pub(super) type SharedState = Arc<Mutex<ExecutorState>>;

pub(super) fn router(state: SharedState) -> Router {
    Router::new()
        .route("/v1/run-start", post(start))
        .route("/v1/run-stop", post(stop))
        .route("/v1/hold", post(hold))
        .with_state(state)
}

pub(super) fn lock(state: &SharedState) -> MutexGuard<'_, ExecutorState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn start(
    State(state): State<SharedState>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let mut state = lock(&state);
    if !is_addressed_to(&state, &headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    if !state.raise_fence(u64_field(&body, "fencing_token")) {
        return conflict_response(&state, "fence");
    }
    // A real executor takes the resource needs from the job; the fake reads them from the payload.
    let payload = body["spec"].as_str().unwrap_or_default();
    let cpu = payload
        .split_whitespace()
        .find_map(|word| word.strip_prefix("cpu=")?.parse().ok());
    let started = state.start(
        body["task"].as_str().unwrap_or_default(),
        u64_field(&body, "run"),
        payload,
        cpu.unwrap_or(1_000),
        u64_field(&body, "expires_ms"),
    );
    match started {
        Ok(()) => Json(json!({"timestamp_ms": state.clock_ms()})).into_response(),
        Err(reason) => conflict_response(&state, reason),
    }
}

async fn stop(State(state): State<SharedState>, Json(body): Json<Value>) -> Response {
    let mut state = lock(&state);
    if !state.raise_fence(u64_field(&body, "fencing_token")) {
        return conflict_response(&state, "fence");
    }
    state.stop(
        body["task"].as_str().unwrap_or_default(),
        u64_field(&body, "run"),
    );
    Json(json!({"timestamp_ms": state.clock_ms()})).into_response()
}

async fn hold(
    State(shared): State<SharedState>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    {
        let mut state = lock(&shared);
        if !is_addressed_to(&state, &headers) {
            return StatusCode::MISDIRECTED_REQUEST.into_response();
        }
        if !state.raise_fence(u64_field(&body, "fencing_token")) {
            return conflict_response(&state, "fence");
        }
        state.acknowledge(u64_field(&body, "acked_upto"));
        if body["expires_ms"].is_u64() {
            state.extend_lease(u64_field(&body, "expires_ms"));
        }
    }
    let deadline = Instant::now() + Duration::from_millis(u64_field(&body, "wait_ms"));
    loop {
        {
            let mut state = lock(&shared);
            state.end_due_runs();
            if state.has_ended_runs() || Instant::now() >= deadline {
                return Json(state.hold_response()).into_response();
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns true if a request is addressed to this executor rather than to one that used the same address before.
fn is_addressed_to(state: &ExecutorState, headers: &HeaderMap) -> bool {
    headers
        .get(EXPECTED_EXECUTOR_HEADER)
        .is_none_or(|id| id.as_bytes() == state.id.as_bytes())
}

fn u64_field(body: &Value, field: &str) -> u64 {
    body[field].as_u64().unwrap_or_default()
}

fn conflict_response(state: &ExecutorState, reason: &str) -> Response {
    let body = json!({"timestamp_ms": state.clock_ms(), "reason": reason});
    (StatusCode::CONFLICT, Json(body)).into_response()
}
