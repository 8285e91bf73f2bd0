use crate::admission::queue_capacity::{QueueLimit, check_queue_capacity};
use crate::admission::start_rate_estimator::time_to_start;
use crate::admission::{AdmissionView, Feasibility};
use crate::code::{Refusal, ResultCode};
use crate::policy::{Policy, TeamPolicy};
use crate::unit::{Bytes, Millicores, Millis, Rate};
use crate::work::{WorkKind, WorkSpec};

/// Shortest and longest wait before a retry that a refusal asks for.
const RETRY_AFTER_RANGE: (Millis, Millis) = (Millis::new(100), Millis::new(60_000));
/// Wait that a refusal asks for while the rate of starts is not known.
const DEFAULT_RETRY_AFTER: Millis = Millis::new(1_000);

/// Largest number of tasks of a gang job. It is placed under the shard's lock, so this bounds how long the lock is
/// held.
const MAX_GANG_TASKS: u32 = 25_000;

/// Decides whether work is accepted into the queue.
#[derive(Debug, Clone)]
pub struct Admission {
    policy: Policy,
}

impl Admission {
    /// Creates a check that applies `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy }
    }

    /// Replaces the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Checks a piece of work. Permanent reasons take precedence over transient ones, so that a caller does not retry
    /// work that would never be accepted.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the work must not be queued.
    pub fn check(&self, spec: &WorkSpec, view: &AdmissionView) -> Result<(), Refusal> {
        let team = self.check_names(spec)?;
        check_tasks(spec)?;
        check_size(spec, team, view)?;
        check_deadline(spec, view)?;
        self.check_queue(spec, team, view)
    }

    fn check_names(&self, spec: &WorkSpec) -> Result<&TeamPolicy, Refusal> {
        let Some(team) = self.policy.team(&spec.team) else {
            let message = format!("team {} is not in the policy", spec.team);
            return Err(Refusal::new(ResultCode::UnknownTeam, message));
        };
        match &spec.service {
            Some(service) if !self.policy.services.contains_key(service) => {
                let message = format!("service {service} is not in the policy");
                Err(Refusal::new(ResultCode::UnknownService, message))
            }
            None if spec.kind == WorkKind::Service => {
                let message = "a service request must have the field service";
                Err(Refusal::new(ResultCode::UnknownService, message))
            }
            _ => Ok(team),
        }
    }

    fn check_queue(
        &self,
        spec: &WorkSpec,
        team: &TeamPolicy,
        view: &AdmissionView,
    ) -> Result<(), Refusal> {
        let queue_full = |message: String| {
            let refusal = Refusal::new(ResultCode::QueueFull, message);
            Err(refusal.retry_after(retry_after(view.start_rate, view.entries_ahead)))
        };
        if view.team_queued >= team.queue_limit {
            let limit = team.queue_limit;
            let (name, usage) = (&spec.team, view.team_usage);
            return queue_full(format!(
                "team {name} has reached its limit of {limit} waiting items and uses {usage}"
            ));
        }
        let service = spec.service.as_ref();
        let limits = service.and_then(|name| Some((name, self.policy.services.get(name)?)));
        if let Some((name, limits)) = limits
            && view.service_queued >= limits.queue_limit
        {
            let limit = limits.queue_limit;
            return queue_full(format!(
                "service {name} has reached its limit of {limit} waiting requests"
            ));
        }
        let bytes = spec.queue_bytes();
        if bytes > self.policy.queue.bytes {
            let limit = self.policy.queue.bytes;
            let message = format!(
                "the work needs {bytes} of queue space, above the limit of {limit} for the whole queue"
            );
            return Err(Refusal::new(ResultCode::BodyTooLarge, message));
        }
        let result = check_queue_capacity(&self.policy, &view.queue, spec.kind, bytes.get());
        let resource = match result {
            Ok(()) => return Ok(()),
            Err(QueueLimit::Items) => "slots",
            Err(QueueLimit::Bytes) => "bytes",
        };
        let message = format!("the queue has no {resource} left for {} work", spec.kind);
        let wait = retry_after(view.start_rate, view.queue.items(spec.kind));
        Err(Refusal::new(ResultCode::Overloaded, message).retry_after(wait))
    }
}

/// Checks the number of tasks, and that tasks on workers declare a size, without which any number would fit on a
/// worker.
fn check_tasks(spec: &WorkSpec) -> Result<(), Refusal> {
    let invalid = |message: String| Err(Refusal::new(ResultCode::InvalidValue, message));
    let max_tasks = match spec.kind {
        WorkKind::Service | WorkKind::Batch => 1,
        WorkKind::Gang => MAX_GANG_TASKS,
    };
    let (kind, task_count) = (spec.kind, spec.task_count);
    if !(1..=max_tasks).contains(&task_count) {
        return invalid(format!(
            "expected 1 to {max_tasks} members for {kind} work, found {task_count}"
        ));
    }
    let sized = spec.resources.cpu > Millicores::ZERO && spec.resources.memory > Bytes::ZERO;
    if kind != WorkKind::Service && !sized {
        return invalid(format!(
            "{kind} work must declare processors and memory above 0"
        ));
    }
    Ok(())
}

fn check_size(spec: &WorkSpec, team: &TeamPolicy, view: &AdmissionView) -> Result<(), Refusal> {
    let never_fits = || {
        let (task_count, need) = (spec.task_count, spec.resources);
        let message =
            format!("the known hosts could never hold {task_count} members of {need} each");
        Refusal::new(ResultCode::NeverFits, message)
    };
    let total = spec.total_resources().ok_or_else(never_fits)?;
    if !total.fits_in(&team.quota) {
        let (name, quota) = (&spec.team, team.quota);
        let message = format!("the work needs {total}, above the quota {quota} of team {name}");
        return Err(Refusal::new(ResultCode::QuotaExceeded, message));
    }
    match view.feasibility {
        Feasibility::NeverFits => Err(never_fits()),
        Feasibility::Fits | Feasibility::Unknown => Ok(()),
    }
}

fn check_deadline(spec: &WorkSpec, view: &AdmissionView) -> Result<(), Refusal> {
    let Some(deadline) = spec.deadline else {
        return Ok(());
    };
    if deadline < view.now {
        let message = "the deadline had passed when the work arrived";
        return Err(Refusal::new(ResultCode::DeadlinePassed, message));
    }
    let Some(rate) = view.start_rate else {
        return Ok(());
    };
    let wait = time_to_start(view.entries_ahead, rate);
    if view.now.after(wait) <= deadline {
        return Ok(());
    }
    let remaining = deadline.since(view.now);
    let message =
        format!("the work is estimated to wait {wait}, and its deadline is in {remaining}");
    let refusal = Refusal::new(ResultCode::DeadlineInfeasible, message);
    let excess = Millis::new(wait.get().saturating_sub(remaining.get()));
    Err(refusal.retry_after(clamp_retry_after(excess)))
}

/// Returns the estimated time until a tenth of `waiting` items have started.
fn retry_after(rate: Option<Rate>, waiting: u64) -> Millis {
    rate.map_or(DEFAULT_RETRY_AFTER, |rate| {
        clamp_retry_after(time_to_start(waiting.div_ceil(10), rate))
    })
}

fn clamp_retry_after(wait: Millis) -> Millis {
    wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
}
