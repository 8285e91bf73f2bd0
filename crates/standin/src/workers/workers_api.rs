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
use crate::util::{json, lock};
use crate::workers::placements::Placements;
use crate::workers::violations::Violations;
use crate::workers::worker::Worker;
use crate::workers::worker_state::WorkerState;
use crate::workers::{Violation, ViolationsAnswer, WorkersSettings};

/// HTTP API of all workers of a server.
#[derive(Debug)]
pub(crate) struct WorkersApi {
    workers: HashMap<WorkerId, Arc<Worker>>,
    placements: Placements,
    pub(crate) violations: Violations,
}

type Api = State<Arc<WorkersApi>>;
type Callee = Extension<Arc<Worker>>;

impl WorkersApi {
    pub(crate) fn new(settings: &WorkersSettings) -> Self {
        let now = Instant::now();
        let mut workers = HashMap::new();
        for one in &settings.workers {
            let state = WorkerState::new(one.clone(), settings, now).into();
            let id = one.worker.clone();
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
            .layer(from_fn_with_state(self.clone(), Self::find));
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

    async fn find(
        State(api): Api,
        ConnectInfo(connection): ConnectInfo<Connection>,
        mut req: Request,
        next: Next,
    ) -> Response {
        // `nest` strips the prefix from the path, so the name is taken from the original one.
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
        Extension(worker): Callee,
        Json(req): Json<StartRequest>,
    ) -> Response {
        let now = Instant::now();
        let (outcome, repeated) = {
            let mut state = lock(&worker.state);
            let outcome = state.start(&req, now);
            let started = outcome == StartOutcome::Started;
            (outcome, started && !state.started.insert(req.task.clone()))
        };
        if repeated {
            api.report(&worker, &req.task, "started a second time".into());
        }
        match outcome {
            StartOutcome::Started => {
                api.check_elsewhere(&worker, &req.task, now);
                start_answer(false, TaskState::Running)
            }
            StartOutcome::AlreadyKnown(state) => start_answer(true, state),
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
                json(status, &refusal)
            }
        }
    }

    /// Reports a task that also runs on another worker. No two workers are locked at the same time.
    fn check_elsewhere(&self, worker: &Arc<Worker>, task: &TaskId, now: Instant) {
        let Some(before) = self.placements.replace(task, worker.clone()) else {
            return;
        };
        if Arc::ptr_eq(&before, worker) {
            return;
        }
        let runs = {
            let mut state = lock(&before.state);
            state.settle(now);
            state.runs_member(task)
        };
        if runs {
            self.report(worker, task, format!("also runs on worker {}", before.id));
        }
    }

    fn report(&self, worker: &Worker, task: &TaskId, what: String) {
        self.violations.add(Violation {
            worker: worker.id.clone(),
            task: task.clone(),
            what,
        });
    }

    async fn show_violations(State(api): Api) -> Json<ViolationsAnswer> {
        Json(api.violations.answer())
    }

    /// Returns how often each worker started each member.
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

async fn lease(Extension(worker): Callee, Json(req): Json<LeaseRequest>) -> Response {
    match lock(&worker.state).grant(&req, Instant::now()) {
        LeaseOutcome::Granted(answer) => json(200, &answer),
        LeaseOutcome::Refused(refusal) => json(409, &refusal),
    }
}

async fn release(Extension(worker): Callee, Json(req): Json<ReleaseRequest>) -> Response {
    let released = lock(&worker.state).release(&req, Instant::now());
    json(200, &ReleaseResponse { released })
}

async fn acknowledge(Extension(worker): Callee, Json(req): Json<AcknowledgeRequest>) -> Response {
    with_owner(&worker, &req.shard, req.shard_epoch, |state, _| {
        let forgotten = state.acknowledge(&req.tasks);
        json(200, &AcknowledgeResponse { forgotten })
    })
}

async fn stop(
    Extension(worker): Callee,
    Path((_, task)): Path<(WorkerId, TaskId)>,
    Json(req): Json<ShardEpoch>,
) -> Response {
    with_owner(&worker, &req.shard, req.shard_epoch, |state, now| {
        let state = state.stop(&task, now);
        json(200, &ControlResponse { state })
    })
}

async fn throttle(
    Extension(worker): Callee,
    Path((_, task)): Path<(WorkerId, TaskId)>,
    Json(req): Json<ThrottleRequest>,
) -> Response {
    with_owner(
        &worker,
        &req.shard,
        req.shard_epoch,
        |state, _| match state.throttle(&task, req.cpu) {
            Some(state) => json(200, &ControlResponse { state }),
            None => StatusCode::NOT_FOUND.into_response(),
        },
    )
}

async fn checkpoint(
    Extension(worker): Callee,
    Path((_, task)): Path<(WorkerId, TaskId)>,
    Json(req): Json<ShardEpoch>,
) -> Response {
    with_owner(&worker, &req.shard, req.shard_epoch, |state, _| {
        let Some(record) = state.tasks.get(&task) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        let state = record.report.state.clone();
        let checkpoint = state.is_running().then(|| format!("checkpoint-{task}"));
        json(200, &CheckpointResponse { checkpoint, state })
    })
}

async fn fence(Extension(worker): Callee, Json(req): Json<ShardEpoch>) -> Response {
    with_owner(&worker, &req.shard, req.shard_epoch, |state, _| {
        let tasks = state.tasks_of(&req.shard);
        let incarnation = state.incarnation;
        json(200, &FenceResponse { incarnation, tasks })
    })
}

/// Acts on behalf of the owner of a shard; an earlier owner than the last one seen is refused.
fn with_owner(
    worker: &Worker,
    shard: &ShardId,
    epoch: Epoch,
    act: impl FnOnce(&mut WorkerState, Instant) -> Response,
) -> Response {
    let now = Instant::now();
    let mut state = lock(&worker.state);
    state.settle(now);
    match state.see_shard_epoch(shard, epoch) {
        true => act(&mut state, now),
        false => json(409, &state.refuse(StartRefusalReason::LowerShardEpoch)),
    }
}

fn start_answer(already_known: bool, state: TaskState) -> Response {
    let body = StartResponse {
        already_known,
        state,
    };
    json(200, &body)
}
