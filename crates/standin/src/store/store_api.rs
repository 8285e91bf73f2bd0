use std::sync::{Arc, Mutex};

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use lagoon_core::unit::Millis;
use lagoon_platform::store::{
    DeleteOutcome, LeaseId, LeaseRequest, LeaseResponse, Precondition, PutOutcome, PutRequest,
    VersionResponse, WatchResponse,
};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::store::store_state::StoreState;
use crate::store::{StoreCalls, StoreSettings};
use crate::util::{json_response, lock, to_bounded_duration};

/// Timeout of a long poll that doesn't specify one.
const DEFAULT_WATCH_WAIT: Millis = Millis::new(30_000);

/// HTTP API of the store.
#[derive(Debug)]
pub(crate) struct StoreApi {
    settings: StoreSettings,
    state: Mutex<StoreState>,
    revision: watch::Sender<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DeleteQuery {
    expect: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListQuery {
    prefix: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: Option<Millis>,
}

type Api = State<Arc<StoreApi>>;

impl StoreApi {
    pub(crate) fn new(settings: StoreSettings) -> Self {
        let state = StoreState::new(&settings, Instant::now());
        Self {
            settings,
            state: Mutex::new(state),
            revision: watch::Sender::new(0),
        }
    }

    pub(crate) fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/kv", get(Self::list))
            .route(
                "/kv/{*key}",
                get(Self::get).put(Self::put).delete(Self::delete),
            )
            .route("/watch", get(Self::watch))
            .route("/lease", post(Self::grant_lease))
            .route("/lease/{id}/keepalive", post(Self::keep_alive))
            .route("/calls", get(Self::count_calls))
            .with_state(self)
    }

    pub(crate) fn calls(&self) -> StoreCalls {
        lock(&self.state).calls
    }

    async fn get(State(api): Api, Path(key): Path<String>) -> Response {
        api.read(
            |calls| &mut calls.get,
            |state| match state.get(&key) {
                Some(entry) => json_response(200, &entry),
                None => StatusCode::NOT_FOUND.into_response(),
            },
        )
    }

    async fn list(State(api): Api, Query(query): Query<ListQuery>) -> Response {
        api.read(
            |calls| &mut calls.list,
            |state| json_response(200, &state.list(&query.prefix)),
        )
    }

    async fn put(
        State(api): Api,
        Path(key): Path<String>,
        Json(req): Json<PutRequest>,
    ) -> Response {
        let too_large = req.value.len() as u64 > api.settings.max_value.get();
        api.write(
            |calls| &mut calls.put,
            |state, _| {
                if too_large {
                    return StatusCode::PAYLOAD_TOO_LARGE.into_response();
                }
                if req.lease.is_some_and(|lease| !state.has_lease(lease)) {
                    return StatusCode::GONE.into_response();
                }
                match state.put(
                    key,
                    req.value,
                    Precondition::from_wire(req.expect),
                    req.lease,
                ) {
                    PutOutcome::Written(version) => {
                        json_response(200, &VersionResponse { version })
                    }
                    PutOutcome::Conflict { current } => {
                        let version = current.unwrap_or(0);
                        json_response(409, &VersionResponse { version })
                    }
                }
            },
        )
    }

    async fn delete(
        State(api): Api,
        Path(key): Path<String>,
        Query(query): Query<DeleteQuery>,
    ) -> Response {
        let expect = Precondition::from_wire(query.expect);
        api.write(
            |calls| &mut calls.delete,
            |state, _| match state.delete(&key, expect) {
                DeleteOutcome::Deleted(version) => json_response(200, &VersionResponse { version }),
                DeleteOutcome::Conflict { current } => {
                    json_response(409, &VersionResponse { version: current })
                }
                DeleteOutcome::Absent => StatusCode::NOT_FOUND.into_response(),
            },
        )
    }

    async fn grant_lease(State(api): Api, Json(req): Json<LeaseRequest>) -> Response {
        let ttl = to_bounded_duration(req.ttl_ms);
        api.write(
            |calls| &mut calls.grant_lease,
            |state, now| {
                let lease = state.grant_lease(ttl, now);
                json_response(200, &LeaseResponse { lease })
            },
        )
    }

    async fn keep_alive(State(api): Api, Path(id): Path<LeaseId>) -> Response {
        api.write(
            |calls| &mut calls.keep_alive,
            |state, now| match state.keep_alive(id, now) {
                true => json_response(200, &()),
                false => StatusCode::NOT_FOUND.into_response(),
            },
        )
    }

    async fn watch(State(api): Api, Query(query): Query<WatchQuery>) -> Response {
        let wait = query.wait_ms.unwrap_or(DEFAULT_WATCH_WAIT);
        let deadline = Instant::now() + to_bounded_duration(wait);
        let mut changed = api.revision.subscribe();
        let admitted = api.read(|calls| &mut calls.watch, |_| StatusCode::OK.into_response());
        if admitted.status() != StatusCode::OK {
            return admitted;
        }
        loop {
            changed.mark_unchanged();
            let now = Instant::now();
            let (response, wake_at) = api.poll_changes(&query, now, deadline);
            if let Some(response) = response {
                return json_response(200, &response);
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(wake_at) => {}
            }
        }
    }

    /// Returns the response to a long poll, if there are changes or its deadline has passed, and the time of the next
    /// check.
    fn poll_changes(
        &self,
        query: &WatchQuery,
        now: Instant,
        deadline: Instant,
    ) -> (Option<WatchResponse>, Instant) {
        let mut state = lock(&self.state);
        self.expire(&mut state, now);
        let wake_at = state.next_expiry().map_or(deadline, |at| at.min(deadline));
        let unchanged = || WatchResponse {
            revision: state.revision(),
            entries: Vec::new(),
            deleted: Vec::new(),
        };
        let changes = state.changes(&query.prefix, query.after);
        (
            changes.or_else(|| (now >= deadline).then(unchanged)),
            wake_at,
        )
    }

    async fn count_calls(State(api): Api) -> Json<StoreCalls> {
        Json(api.calls())
    }

    fn read(
        &self,
        count: fn(&mut StoreCalls) -> &mut u64,
        op: impl FnOnce(&StoreState) -> Response,
    ) -> Response {
        let now = Instant::now();
        let mut state = lock(&self.state);
        *count(&mut state.calls) += 1;
        if !state.reads.try_acquire(now) {
            state.calls.limited += 1;
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
        self.expire(&mut state, now);
        op(&state)
    }

    fn write(
        &self,
        count: fn(&mut StoreCalls) -> &mut u64,
        op: impl FnOnce(&mut StoreState, Instant) -> Response,
    ) -> Response {
        let now = Instant::now();
        let mut state = lock(&self.state);
        *count(&mut state.calls) += 1;
        if !state.writes.try_acquire(now) {
            state.calls.limited += 1;
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
        self.expire(&mut state, now);
        let response = op(&mut state, now);
        self.revision.send_replace(state.revision());
        response
    }

    fn expire(&self, state: &mut StoreState, now: Instant) {
        let before = state.revision();
        state.expire(now);
        if state.revision() != before {
            self.revision.send_replace(state.revision());
        }
    }
}
