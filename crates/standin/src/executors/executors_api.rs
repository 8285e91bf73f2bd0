use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use lagoon_core::id::ExecutorId;
use lagoon_platform::executor::{RunRequest, StatusResponse};
use tokio::time::sleep;

use crate::executors::ExecutorsSettings;
use crate::executors::executor::{Executor, ExecutorState};
use crate::executors::run_directive::RunDirective;
use crate::executors::slot::Slot;
use crate::util::{json_response, lock};

/// HTTP API of all executors on a server.
#[derive(Debug)]
pub(crate) struct ExecutorsApi(HashMap<ExecutorId, Arc<Executor>>);

type Api = State<Arc<ExecutorsApi>>;

impl ExecutorsApi {
    pub(crate) fn new(settings: &ExecutorsSettings) -> Self {
        let mut executors = HashMap::new();
        for one in &settings.executors {
            let executor = Executor {
                slots: one.slots,
                state: ExecutorState::default().into(),
            };
            executors.insert(one.executor.clone(), Arc::new(executor));
        }
        Self(executors)
    }

    pub(crate) fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/e/{executor}/run", post(Self::run))
            .route("/e/{executor}/status", get(Self::status))
            .route("/runs", get(Self::show_runs))
            .route("/payloads", get(Self::show_payloads))
            .with_state(self)
    }

    /// Returns the number of runs by request, summed over all executors.
    pub(crate) fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for executor in self.0.values() {
            for (request, count) in &lock(&executor.state).runs {
                *runs.entry(request.clone()).or_default() += count;
            }
        }
        runs
    }

    async fn run(
        State(api): Api,
        Path(id): Path<ExecutorId>,
        Json(req): Json<RunRequest>,
    ) -> Response {
        let Some(executor) = api.0.get(&id) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        let Some(slot) = Slot::try_acquire(executor.clone(), &req) else {
            let body = "all slots are in use";
            return (StatusCode::SERVICE_UNAVAILABLE, body).into_response();
        };
        let directive = RunDirective::parse(&req.payload);
        sleep(directive.sleep.to_duration()).await;
        drop(slot);
        let done = || format!("done {}", req.request);
        directive.echo.unwrap_or_else(done).into_response()
    }

    async fn status(State(api): Api, Path(id): Path<ExecutorId>) -> Response {
        let Some(executor) = api.0.get(&id) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        let status = StatusResponse {
            slots: executor.slots,
            in_use: lock(&executor.state).in_use,
        };
        json_response(200, &status)
    }

    /// Returns the number of runs by executor and prefix of the payload.
    pub(crate) fn payloads(&self) -> BTreeMap<ExecutorId, BTreeMap<String, u32>> {
        let executors = self.0.iter();
        let payloads = executors.map(|(id, executor)| {
            let payloads = lock(&executor.state).payloads.clone();
            (id.clone(), payloads)
        });
        payloads.collect()
    }

    async fn show_payloads(State(api): Api) -> Json<BTreeMap<ExecutorId, BTreeMap<String, u32>>> {
        Json(api.payloads())
    }

    async fn show_runs(State(api): Api) -> Json<BTreeMap<String, u32>> {
        Json(api.runs())
    }
}
