//! Admission: each reason for a refusal, the guaranteed shares of the queue, and the estimate of the start rate.

use lagoon_core::ResultCode;
use lagoon_core::admission::{
    Admission, AdmissionView, Feasibility, QueueLoad, StartRateEstimator,
};
use lagoon_core::policy::{Policy, ServicePolicy, TeamPolicy, Weight};
use lagoon_core::unit::{Bytes, Millicores, Millis, Priority, Rate, Resources, Timestamp};
use lagoon_core::work::{PlacementPolicy, Repeatability, WorkKind, WorkSpec};

const NOW: Timestamp = Timestamp::from_millis(100_000);

fn policy() -> Policy {
    let mut policy = Policy::default();
    let team = TeamPolicy {
        weight: Weight::new(1),
        quota: Resources::new(Millicores::new(100), Bytes::new(100)),
        queue_limit: 500,
    };
    policy.teams.insert("crew".parse().unwrap(), team);
    let service = ServicePolicy {
        queue_limit: 50,
        ..ServicePolicy::default()
    };
    policy.services.insert("planner".parse().unwrap(), service);
    policy.queue.items = 100;
    policy.queue.bytes = Bytes::new(100_000);
    policy
}

fn spec() -> WorkSpec {
    WorkSpec {
        kind: WorkKind::Batch,
        team: "crew".parse().unwrap(),
        priority: Priority::NORMAL,
        deadline: None,
        resources: Resources::new(Millicores::new(10), Bytes::new(10)),
        task_count: 1,
        run_time: Millis::new(1_000),
        repeatability: Repeatability::Restartable,
        placement: PlacementPolicy::default(),
        service: None,
        payload: String::new(),
    }
}

fn view() -> AdmissionView {
    AdmissionView {
        now: NOW,
        queue: QueueLoad::default(),
        team_queued: 0,
        team_usage: Resources::ZERO,
        service_queued: 0,
        feasibility: Feasibility::Fits,
        entries_ahead: 0,
        start_rate: None,
    }
}

fn load(kind: WorkKind, items: u64, bytes: u64) -> QueueLoad {
    QueueLoad::default().with(kind, items, Bytes::new(bytes))
}

macro_rules! decisions {
    ($($(#[$meta:meta])* $name:ident($spec:ident, $view:ident) $change:block => $code:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let (mut $spec, mut $view) = (spec(), view());
                $change
                let result = Admission::new(policy()).check(&$spec, &$view);
                let code: Option<ResultCode> = $code;
                assert_eq!(result.err().map(|refusal| refusal.code), code);
                let _ = (&mut $spec, &mut $view);
            }
        )*
    };
}

decisions! {
    /// Guards against the refusal of valid work.
    accepted(spec, view) {} => None;
    /// Guards against work of a team without weight and quota.
    unknown_team(spec, view) { spec.team = "nobody".parse().unwrap(); } => Some(ResultCode::UnknownTeam);
    /// Guards against requests of a service that no executor serves.
    unknown_service(spec, view) { spec.service = "other".parse().ok(); } => Some(ResultCode::UnknownService);
    /// Guards against a service request that names no service.
    service_missing(spec, view) { spec.kind = WorkKind::Service; } => Some(ResultCode::UnknownService);
    /// Guards against work without tasks, which would end without a run.
    no_tasks(spec, view) { spec.task_count = 0; } => Some(ResultCode::InvalidValue);
    /// Guards against a batch run with several tasks, of which only one would run.
    batch_with_several_tasks(spec, view) { spec.task_count = 2; } => Some(ResultCode::InvalidValue);
    /// Guards against a gang job so large that its placement blocks the shard for long.
    too_many_tasks(spec, view) {
        spec.kind = WorkKind::Gang;
        spec.task_count = 25_001;
    } => Some(ResultCode::InvalidValue);
    /// Guards against tasks without a declared size, any number of which would fit on a worker.
    no_size(spec, view) { spec.resources.cpu = Millicores::ZERO; } => Some(ResultCode::InvalidValue);
    /// Guards against a job that its team's quota can never hold.
    larger_than_quota(spec, view) {
        spec.kind = WorkKind::Gang;
        spec.task_count = 11;
    } => Some(ResultCode::QuotaExceeded);
    /// Guards against the refusal of a job that only has to wait for its team's quota.
    quota_in_use_waits(spec, view) { view.team_usage = spec.resources.checked_mul(10).unwrap(); } => None;
    /// Guards against an overflow that makes the total of a large job small.
    total_overflow(spec, view) {
        spec.kind = WorkKind::Gang;
        spec.resources.memory = Bytes::new(u64::MAX);
        spec.task_count = 2;
    } => Some(ResultCode::NeverFits);
    /// Guards against work that waits forever because no host could hold it.
    never_fits(spec, view) { view.feasibility = Feasibility::NeverFits; } => Some(ResultCode::NeverFits);
    /// Guards against a refusal as "never fits" while some hosts are not known yet.
    unknown_fleet(spec, view) { view.feasibility = Feasibility::Unknown; } => None;
    /// Guards against work that is queued although it will expire before its start.
    deadline_infeasible(spec, view) {
        spec.deadline = Some(NOW.after(Millis::new(9_000)));
        view.entries_ahead = 100;
        view.start_rate = Some(Rate::per_second(10));
    } => Some(ResultCode::DeadlineInfeasible);
    /// Guards against the refusal of a deadline that can be met exactly.
    deadline_feasible(spec, view) {
        spec.deadline = Some(NOW.after(Millis::new(10_000)));
        view.entries_ahead = 100;
        view.start_rate = Some(Rate::per_second(10));
    } => None;
    /// Guards against a refusal by deadline before a start rate was measured.
    deadline_without_measurement(spec, view) {
        spec.deadline = Some(NOW);
        view.entries_ahead = 100;
    } => None;
    /// Guards against work whose deadline lies in the past.
    deadline_passed(spec, view) {
        spec.deadline = Some(Timestamp::from_millis(NOW.as_millis() - 1));
    } => Some(ResultCode::DeadlinePassed);
    /// Guards against one team that fills the queue.
    team_queue_full(spec, view) { view.team_queued = 500; } => Some(ResultCode::QueueFull);
    /// Guards against one service that fills the queue.
    service_queue_full(spec, view) {
        spec.kind = WorkKind::Service;
        spec.service = "planner".parse().ok();
        view.service_queued = 50;
    } => Some(ResultCode::QueueFull);
    /// Guards against a kind that takes the slots guaranteed to others. It may use its own 20 and the 40 shared ones.
    flood_stops_at_its_share(spec, view) {
        view.queue = load(WorkKind::Batch, 60, 0);
    } => Some(ResultCode::Overloaded);
    /// Guards against shared slots that stay unused.
    flood_may_use_shared_slots(spec, view) { view.queue = load(WorkKind::Batch, 59, 0); } => None;
    /// Guards against a flood of another kind that takes the guaranteed slots.
    other_kinds_keep_their_slots(spec, view) { view.queue = load(WorkKind::Gang, 60, 0); } => None;
    /// Guards against a kind that loses its guaranteed slots because another kind exceeds a limit that was lowered.
    slots_hold_after_a_lower_limit(spec, view) { view.queue = load(WorkKind::Gang, 99, 0); } => None;
    /// Guards against a queue that is bounded in items but not in bytes.
    bytes_are_bounded(spec, view) {
        view.queue = load(WorkKind::Batch, 1, 59_999);
    } => Some(ResultCode::Overloaded);
    /// Guards against a retry hint for a payload that could never be queued.
    larger_than_the_queue(spec, view) {
        spec.payload = "x".repeat(100_000);
    } => Some(ResultCode::BodyTooLarge);
}

/// Guards against an overload refusal without a retry hint, or with one that ignores the measured start rate.
#[test]
fn overload_carries_a_retry_hint() {
    let mut view = view();
    view.queue = load(WorkKind::Batch, 60, 0);
    let admission = Admission::new(policy());
    let hint = |view: &AdmissionView| admission.check(&spec(), view).unwrap_err().retry_after;
    assert_eq!(hint(&view), Some(Millis::new(1_000)));
    view.start_rate = Some(Rate::per_second(2));
    assert_eq!(hint(&view), Some(Millis::new(3_000)));
    view.start_rate = Some(Rate::ZERO);
    assert_eq!(hint(&view), Some(Millis::new(60_000)));
}

/// Guards against a rate that includes idle time, and against an estimate from too few samples.
#[test]
fn estimator_measures_only_under_load() {
    let mut estimator = StartRateEstimator::new();
    let at = |millis| Timestamp::from_millis(millis);
    for step in 0..=3 {
        estimator.record(at(step * 500), 5, true);
        assert_eq!(estimator.rate(), None);
    }
    estimator.record(at(2_000), 5, true);
    assert_eq!(estimator.rate(), Some(Rate::per_second(10)));
    estimator.record(at(2_100), 1, false);
    estimator.record(at(90_000), 1, true);
    estimator.record(at(90_500), 5, true);
    assert_eq!(estimator.rate(), Some(Rate::per_second(10)));
}

/// Guards against an estimate that stays at an old rate after starts slowed down.
#[test]
fn estimator_follows_a_change() {
    let mut estimator = StartRateEstimator::new();
    for step in 0..200_u64 {
        let starts = if step < 100 { 50 } else { 5 };
        estimator.record(Timestamp::from_millis(step * 500), starts, true);
    }
    let rate = estimator.rate().unwrap().as_per_second();
    assert!((9.9..10.2).contains(&rate), "{rate}");
}
