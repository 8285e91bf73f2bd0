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

/// Items in one page.
const PAGE: usize = 500;
/// Time between two looks for events while a watch waits.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Delay of writes that are done late, longer than their callers wait.
const LATE: Duration = Duration::from_millis(1_500);

pub(super) type Shared = Arc<Mutex<KvState>>;
type Params = Query<HashMap<String, String>>;

pub(super) fn router(state: Shared) -> Router {
    Router::new()
        .route("/v1/kv-key", get(read))
        .route("/v1/kv-range", get(range))
        .route("/v1/kv-watch", get(watch))
        .route("/v1/kv-txn", post(commit))
        .route("/v1/kv-lease", post(lease))
        .route("/v1/kv-keep/{id}", post(renew))
        .route("/v1/kv-lease-end/{id}", delete(end_lease))
        .with_state(state)
}

pub(super) fn lock(state: &Shared) -> MutexGuard<'_, KvState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Does a call under the present fault.
async fn call(shared: &Shared, f: impl FnOnce(&mut KvState) -> Response) -> Response {
    let (answer, fault) = {
        let mut state = lock(shared);
        state.calls += 1;
        state.end_lapsed();
        if state.fault == StoreFault::Unavailable {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        (f(&mut state), state.fault)
    };
    if fault == StoreFault::DropResponses {
        std::future::pending::<()>().await;
    }
    answer
}

async fn read(State(shared): State<Shared>, Query(params): Params) -> Response {
    call(&shared, |state| match state.get(&params["key"]) {
        Some(item) => Json(item).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    })
    .await
}

async fn range(State(shared): State<Shared>, Query(params): Params) -> Response {
    call(&shared, |state| {
        let after = params.get("after").map_or("", String::as_str);
        let (items, truncated) = state.range(&params["prefix"], after, PAGE);
        let body =
            json!({"items": items, "truncated": truncated, "store_revision": state.revision()});
        Json(body).into_response()
    })
    .await
}

async fn watch(State(shared): State<Shared>, Query(params): Params) -> Response {
    let number = |name: &str| params.get(name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after").unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
    loop {
        let answer = call(&shared, |state| {
            match state.events(&params["prefix"], after) {
                None => StatusCode::GONE.into_response(),
                Some(events) if events.is_empty() && Instant::now() < until => {
                    StatusCode::NO_CONTENT.into_response()
                }
                Some(events) => {
                    let body = json!({"events": events, "store_revision": state.revision()});
                    Json(body).into_response()
                }
            }
        })
        .await;
        if answer.status() != StatusCode::NO_CONTENT {
            return answer;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn commit(State(shared): State<Shared>, Json(body): Json<Value>) -> Response {
    if lock(&shared).fault == StoreFault::DelayWrites {
        tokio::spawn(async move {
            tokio::time::sleep(LATE).await;
            // A write whose condition does not hold any more has no effect.
            let _ = lock(&shared).commit(&body);
        });
        return std::future::pending().await;
    }
    let answer = call(&shared, |state| {
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
    if lock(&shared).fault == StoreFault::DropWriteResponses && answer.status().is_success() {
        std::future::pending::<()>().await;
    }
    answer
}

async fn lease(State(shared): State<Shared>, Json(body): Json<Value>) -> Response {
    let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
    call(&shared, |state| {
        let id = state.grant(Duration::from_millis(ttl_ms));
        Json(json!({"lease": id, "ttl_ms": ttl_ms})).into_response()
    })
    .await
}

async fn renew(State(shared): State<Shared>, Path(id): Path<u64>) -> Response {
    call(&shared, |state| match state.renew(id) {
        Some(ttl) => Json(json!({"ttl_ms": ttl.as_millis() as u64})).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    })
    .await
}

async fn end_lease(State(shared): State<Shared>, Path(id): Path<u64>) -> Response {
    call(&shared, |state| match state.end_lease(id) {
        true => StatusCode::OK.into_response(),
        false => StatusCode::NOT_FOUND.into_response(),
    })
    .await
}
