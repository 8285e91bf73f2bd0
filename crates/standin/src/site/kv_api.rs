use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::site::kv_state::{KvState, StoreFault};

/// Maximum number of items in a page of a range read.
const MAX_PAGE_ITEMS: usize = 500;
/// Interval at which a waiting watch checks for events.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay of writes under [`StoreFault::DelayWrites`], longer than the timeout of their callers.
const WRITE_DELAY: Duration = Duration::from_millis(1_500);

pub(super) type SharedState = Arc<Mutex<KvState>>;
type Params = Query<HashMap<String, String>>;

pub(super) fn router(state: SharedState) -> Router {
    Router::new()
        .route("/v1/kv-key", get(read))
        .route("/v1/kv-range", get(range))
        .route("/v1/kv-watch", get(watch))
        .route("/v1/kv-txn", post(commit))
        .route("/v1/kv-lease", post(grant_lease))
        .route("/v1/kv-keep/{id}", post(renew_lease))
        .route("/v1/kv-lease-end/{id}", delete(end_lease))
        .with_state(state)
}

pub(super) fn lock(state: &SharedState) -> MutexGuard<'_, KvState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handles a call, subject to the current fault.
async fn handle(shared: &SharedState, op: impl FnOnce(&mut KvState) -> Response) -> Response {
    let (response, fault) = {
        let mut state = lock(shared);
        state.calls += 1;
        state.end_expired_leases();
        if state.fault == StoreFault::Unavailable {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        (op(&mut state), state.fault)
    };
    if fault == StoreFault::DropResponses {
        std::future::pending::<()>().await;
    }
    response
}

async fn read(State(shared): State<SharedState>, Query(params): Params) -> Response {
    handle(&shared, |state| match state.get(&params["key"]) {
        Some(item) => Json(item).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    })
    .await
}

async fn range(State(shared): State<SharedState>, Query(params): Params) -> Response {
    handle(&shared, |state| {
        let after = params.get("after").map_or("", String::as_str);
        let (items, truncated) = state.range(&params["prefix"], after, MAX_PAGE_ITEMS);
        let body =
            json!({"items": items, "truncated": truncated, "store_revision": state.revision()});
        Json(body).into_response()
    })
    .await
}

async fn watch(State(shared): State<SharedState>, Query(params): Params) -> Response {
    let u64_param = |name: &str| params.get(name).and_then(|text| text.parse::<u64>().ok());
    let after = u64_param("after").unwrap_or_default();
    let deadline = Instant::now() + Duration::from_millis(u64_param("wait_ms").unwrap_or_default());
    loop {
        let response = handle(&shared, |state| {
            let is_silent = state.fault == StoreFault::SilentWatches;
            match state.events(&params["prefix"], after) {
                Some(_) if is_silent => StatusCode::NO_CONTENT.into_response(),
                None => StatusCode::GONE.into_response(),
                Some(events) if events.is_empty() && Instant::now() < deadline => {
                    StatusCode::NO_CONTENT.into_response()
                }
                Some(events) => {
                    let body = json!({"events": events, "store_revision": state.revision()});
                    Json(body).into_response()
                }
            }
        })
        .await;
        if response.status() != StatusCode::NO_CONTENT {
            return response;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn commit(State(shared): State<SharedState>, Json(body): Json<Value>) -> Response {
    let delay = {
        let mut state = lock(&shared);
        let delay = state.take_delay(&body);
        delay.or((state.fault == StoreFault::DelayWrites).then_some(WRITE_DELAY))
    };
    if let Some(delay) = delay {
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // A write whose preconditions no longer hold has no effect.
            let _ = lock(&shared).commit(&body);
        });
        return std::future::pending().await;
    }
    let response = handle(&shared, |state| {
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        let leases = writes.iter().filter_map(|write| write["lease"].as_u64());
        if leases.into_iter().any(|lease| !state.has_lease(lease)) {
            return StatusCode::NOT_FOUND.into_response();
        }
        match state.commit(&body) {
            Ok(revision) => Json(json!({"revision": revision})).into_response(),
            Err(items) => {
                let body = Json(json!({"items": items}));
                (StatusCode::PRECONDITION_FAILED, body).into_response()
            }
        }
    })
    .await;
    if lock(&shared).fault == StoreFault::DropWriteResponses && response.status().is_success() {
        std::future::pending::<()>().await;
    }
    response
}

async fn grant_lease(State(shared): State<SharedState>, Json(body): Json<Value>) -> Response {
    let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
    handle(&shared, |state| {
        let id = state.grant_lease(Duration::from_millis(ttl_ms));
        Json(json!({"lease": id, "ttl_ms": ttl_ms})).into_response()
    })
    .await
}

async fn renew_lease(State(shared): State<SharedState>, Path(id): Path<u64>) -> Response {
    handle(&shared, |state| match state.renew_lease(id) {
        Some(ttl) => Json(json!({"ttl_ms": ttl.as_millis() as u64})).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    })
    .await
}

async fn end_lease(State(shared): State<SharedState>, Path(id): Path<u64>) -> Response {
    handle(&shared, |state| match state.end_lease(id) {
        true => StatusCode::OK.into_response(),
        false => StatusCode::NOT_FOUND.into_response(),
    })
    .await
}
