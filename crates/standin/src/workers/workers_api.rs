use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use axum::extract::{ConnectInfo, OriginalUri, Path, Request, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use lagoon_core::id::{Epoch, ShardId, TaskId, WorkerId};
use lagoon_platform::worker::{
    AcknowledgeRequest, AcknowledgeResponse, CheckpointResponse, ControlResponse, FenceResponse,
    LeaseOutcome, LeaseRequest, ReleaseRequest, ReleaseResponse, ShardEpoch, StartOutcome,
    StartRefusalReason, StartRequest, StartResponse, TaskState, ThrottleRequest,
};
use tokio::time::Instant;

use crate::server::Connection;
use crate::util::{json_response, lock};
use crate::workers::placements::Placements;
use crate::workers::violations::Violations;
use crate::workers::worker::Worker;
use crate::workers::worker_state::WorkerState;
use crate::workers::{Violation, ViolationsResponse, WorkersSettings};

/// HTTP API of all workers on a server.
#[derive(Debug)]
pub(crate) struct WorkersApi {
    workers: HashMap<WorkerId, Arc<Worker>>,
    placements: Placements,
    pub(crate) violations: Violations,
}

type Api = State<Arc<WorkersApi>>;
type WorkerExtension = Extension<Arc<Worker>>;

impl WorkersApi {
    pub(crate) fn new(settings: &WorkersSettings) -> Self {
        let now = Instant::now();
        let mut workers = HashMap::new();
        for worker_settings in &settings.workers {
            let state = WorkerState::new(worker_settings.clone(), settings, now).into();
            let id = worker_settings.worker.clone();
            workers.insert(id.clone(), Arc::new(Worker { id, state }));
        }
        Self {
            workers,
            placements: Placements::default(),
            violations: Violations::default(),
        }
    }

    pub(crate) fn router(self: Arc<Self>) -> Router {
        let worker = Router::new()
            .route("/lease", post(lease).delete(release))
            .route("/tasks", post(Self::start))
            .route("/tasks/acknowledge", post(acknowledge))
            .route("/tasks/fence", post(fence))
            .route("/tasks/{task}/stop", post(stop))
            .route("/tasks/{task}/throttle", post(throttle))
            .route("/tasks/{task}/checkpoint", post(checkpoint))
            .layer(from_fn_with_state(self.clone(), Self::resolve_worker));
        Router::new()
            .nest("/w/{worker}", worker)
            .route("/violations", get(Self::show_violations))
            .route("/starts", get(Self::show_starts))
            .route("/workers/{worker}/fail", post(Self::fail_worker))
            .route("/workers/{worker}/recover", post(Self::recover_worker))
            .route("/workers/{worker}/crash", post(Self::crash_worker))
            .route("/workers/{worker}/restart", post(Self::restart_worker))
            .with_state(self)
    }

    pub(crate) fn worker(&self, id: &WorkerId) -> Option<&Arc<Worker>> {
        self.workers.get(id)
    }

    async fn resolve_worker(
        State(api): Api,
        ConnectInfo(connection): ConnectInfo<Connection>,
        mut req: Request,
        next: Next,
    ) -> Response {
        // `nest` strips the prefix from the path, so the worker id is read from the original URI.
        let name = match req.extensions().get::<OriginalUri>() {
            Some(uri) => uri.path().split('/').nth(2).unwrap_or_default(),
            None => "",
        };
        let worker = name.parse().ok().and_then(|id| api.worker(&id));
        let Some(worker) = worker.cloned() else {
            return StatusCode::NOT_FOUND.into_response();
        };
        if lock(&worker.state).crashed {
            connection.close();
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        req.extensions_mut().insert(worker);
        next.run(req).await
    }

    async fn start(
        State(api): Api,
        Extension(worker): WorkerExtension,
        Json(req): Json<StartRequest>,
    ) -> Response {
        let now = Instant::now();
        let (outcome, repeated) = {
            let mut state = lock(&worker.state);
            let outcome = state.start(&req, now);
            let started = outcome == StartOutcome::Started;
            (
                outcome,
                started && !state.started_tasks.insert(req.task.clone()),
            )
        };
        if repeated {
            api.report(&worker, &req.task, "started a second time".into());
        }
        match outcome {
            StartOutcome::Started => {
                api.report_duplicate_run(&worker, &req.task, now);
                start_response(false, TaskState::Running)
            }
            StartOutcome::AlreadyKnown(state) => start_response(true, state),
            StartOutcome::Refused(refusal) => {
                let status = match refusal.reason {
                    StartRefusalReason::DoesNotFit => {
                        let what = format!("needs {}, free is {}", req.resources, refusal.free);
                        api.report(&worker, &req.task, what);
                        507
                    }
                    StartRefusalReason::StartFailed => 424,
                    _ => 409,
                };
                json_response(status, &refusal)
            }
        }
    }

    /// Reports a violation if the task is also running on another worker. Never locks two workers at the same time.
    fn report_duplicate_run(&self, worker: &Arc<Worker>, task: &TaskId, now: Instant) {
        let Some(previous) = self.placements.replace(task, worker.clone()) else {
            return;
        };
        if Arc::ptr_eq(&previous, worker) {
            return;
        }
        let runs = {
            let mut state = lock(&previous.state);
            state.advance(now);
            state.is_task_running(task)
        };
        if runs {
            self.report(worker, task, format!("also runs on worker {}", previous.id));
        }
    }

    fn report(&self, worker: &Worker, task: &TaskId, what: String) {
        self.violations.add(Violation {
            worker: worker.id.clone(),
            task: task.clone(),
            what,
        });
    }

    async fn show_violations(State(api): Api) -> Json<ViolationsResponse> {
        Json(api.violations.snapshot())
    }

    /// Returns the number of starts by worker and task, over all attempts.
    pub(crate) fn starts(&self) -> BTreeMap<WorkerId, BTreeMap<TaskId, u32>> {
        let workers = self.workers.values();
        let starts = workers.map(|worker| {
            let state = lock(&worker.state);
            (worker.id.clone(), state.starts.clone())
        });
        starts.collect()
    }

    async fn show_starts(State(api): Api) -> Json<BTreeMap<WorkerId, BTreeMap<TaskId, u32>>> {
        Json(api.starts())
    }

    async fn fail_worker(State(api): Api, Path(id): Path<WorkerId>) -> StatusCode {
        api.change(&id, WorkerState::fail)
    }

    async fn recover_worker(State(api): Api, Path(id): Path<WorkerId>) -> StatusCode {
        api.change(&id, WorkerState::recover)
    }

    async fn crash_worker(State(api): Api, Path(id): Path<WorkerId>) -> StatusCode {
        api.change(&id, WorkerState::crash)
    }

    async fn restart_worker(State(api): Api, Path(id): Path<WorkerId>) -> StatusCode {
        api.change(&id, WorkerState::restart)
    }

    pub(crate) fn change(&self, id: &WorkerId, change: fn(&mut WorkerState)) -> StatusCode {
        let Some(worker) = self.worker(id) else {
            return StatusCode::NOT_FOUND;
        };
        change(&mut lock(&worker.state));
        StatusCode::OK
    }
}

async fn lease(Extension(worker): WorkerExtension, Json(req): Json<LeaseRequest>) -> Response {
    match lock(&worker.state).grant_lease(&req, Instant::now()) {
        LeaseOutcome::Granted(response) => json_response(200, &response),
        LeaseOutcome::Refused(refusal) => json_response(409, &refusal),
    }
}

async fn release(Extension(worker): WorkerExtension, Json(req): Json<ReleaseRequest>) -> Response {
    let released = lock(&worker.state).release(&req, Instant::now());
    json_response(200, &ReleaseResponse { released })
}

async fn acknowledge(
    Extension(worker): WorkerExtension,
    Json(req): Json<AcknowledgeRequest>,
) -> Response {
    with_current_owner(&worker, &req.shard, req.shard_epoch, |state, _| {
        let forgotten = state.acknowledge(&req.tasks);
        json_response(200, &AcknowledgeResponse { forgotten })
    })
}

async fn stop(
    Extension(worker): WorkerExtension,
    Path((_, task)): Path<(WorkerId, TaskId)>,
    Json(req): Json<ShardEpoch>,
) -> Response {
    with_current_owner(&worker, &req.shard, req.shard_epoch, |state, now| {
        let state = state.stop(&task, now);
        json_response(200, &ControlResponse { state })
    })
}

async fn throttle(
    Extension(worker): WorkerExtension,
    Path((_, task)): Path<(WorkerId, TaskId)>,
    Json(req): Json<ThrottleRequest>,
) -> Response {
    with_current_owner(&worker, &req.shard, req.shard_epoch, |state, _| match state
        .throttle(&task, req.cpu)
    {
        Some(state) => json_response(200, &ControlResponse { state }),
        None => StatusCode::NOT_FOUND.into_response(),
    })
}

async fn checkpoint(
    Extension(worker): WorkerExtension,
    Path((_, task)): Path<(WorkerId, TaskId)>,
    Json(req): Json<ShardEpoch>,
) -> Response {
    with_current_owner(&worker, &req.shard, req.shard_epoch, |state, _| {
        let Some(record) = state.tasks.get(&task) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        let state = record.report.state.clone();
        let checkpoint = state.is_running().then(|| format!("checkpoint-{task}"));
        json_response(200, &CheckpointResponse { checkpoint, state })
    })
}

async fn fence(Extension(worker): WorkerExtension, Json(req): Json<ShardEpoch>) -> Response {
    with_current_owner(&worker, &req.shard, req.shard_epoch, |state, _| {
        let tasks = state.shard_tasks(&req.shard);
        let incarnation = state.incarnation;
        json_response(200, &FenceResponse { incarnation, tasks })
    })
}

/// Runs `op` for the owner of a shard. Refuses an owner whose epoch is lower than the highest observed one.
fn with_current_owner(
    worker: &Worker,
    shard: &ShardId,
    epoch: Epoch,
    op: impl FnOnce(&mut WorkerState, Instant) -> Response,
) -> Response {
    let now = Instant::now();
    let mut state = lock(&worker.state);
    state.advance(now);
    match state.observe_shard_epoch(shard, epoch) {
        true => op(&mut state, now),
        false => json_response(
            409,
            &state.start_refusal(StartRefusalReason::LowerShardEpoch),
        ),
    }
}

fn start_response(already_known: bool, state: TaskState) -> Response {
    let body = StartResponse {
        already_known,
        state,
    };
    json_response(200, &body)
}
