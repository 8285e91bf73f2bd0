use crate::admission::queue_room::{Full, check_room};
use crate::admission::start_rate_estimator::time_to_start;
use crate::admission::{AdmissionView, Feasibility};
use crate::code::{Refusal, ResultCode};
use crate::policy::{Policy, TeamPolicy};
use crate::unit::{Bytes, Millicores, Millis, Rate};
use crate::work::{WorkKind, WorkSpec};

/// Shortest and longest wait that a refusal asks for.
const RETRY_AFTER: (Millis, Millis) = (Millis::new(100), Millis::new(60_000));
/// Wait asked for while the rate of starts is not known.
const RETRY_AFTER_UNKNOWN: Millis = Millis::new(1_000);

/// Largest number of members. A gang job is placed under the shard's lock, so this bounds how long others wait for it.
const MAX_MEMBERS: u32 = 25_000;

/// Decides whether work is accepted into the queue.
#[derive(Debug, Clone)]
pub struct Admission {
    policy: Policy,
}

impl Admission {
    /// Decides by `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy }
    }

    /// Decides by a new version of the policy from now on.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Checks a piece of work. Lasting reasons come before passing ones, so that a caller does not retry in vain.
    ///
    /// # Errors
    ///
    /// Returns the reason if the work must not be queued.
    pub fn check(&self, spec: &WorkSpec, view: &AdmissionView) -> Result<(), Refusal> {
        let team = self.check_names(spec)?;
        check_shape(spec)?;
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
                let message = "a service request must name a service";
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
        let full = |what: String| {
            let refusal = Refusal::new(ResultCode::QueueFull, what);
            Err(refusal.retry_after(retry_after(view.start_rate, view.entries_ahead)))
        };
        if view.team_queued >= team.queue_limit {
            let limit = team.queue_limit;
            let (name, usage) = (&spec.team, view.team_usage);
            return full(format!(
                "team {name} has {limit} items waiting and runs {usage}"
            ));
        }
        let service = spec.service.as_ref();
        let limits = service.and_then(|name| Some((name, self.policy.services.get(name)?)));
        if let Some((name, limits)) = limits
            && view.service_queued >= limits.queue_limit
        {
            let limit = limits.queue_limit;
            return full(format!("service {name} has {limit} requests waiting"));
        }
        let bytes = spec.queue_bytes();
        if bytes > self.policy.queue.bytes {
            let limit = self.policy.queue.bytes;
            let message = format!("the work takes {bytes}, and the whole queue {limit}");
            return Err(Refusal::new(ResultCode::BodyTooLarge, message));
        }
        let room = check_room(&self.policy, &view.queue, spec.kind, bytes.get());
        let what = match room {
            Ok(()) => return Ok(()),
            Err(Full::Items) => "slots",
            Err(Full::Bytes) => "bytes",
        };
        let message = format!("the queue has no {what} left for {} work", spec.kind);
        let wait = retry_after(view.start_rate, view.queue.items(spec.kind));
        Err(Refusal::new(ResultCode::Overloaded, message).retry_after(wait))
    }
}

/// Checks the number of members and that tasks on workers declare a size, without which their number is unbounded.
fn check_shape(spec: &WorkSpec) -> Result<(), Refusal> {
    let invalid = |message: String| Err(Refusal::new(ResultCode::InvalidValue, message));
    let most = match spec.kind {
        WorkKind::Service | WorkKind::Batch => 1,
        WorkKind::Gang => MAX_MEMBERS,
    };
    let (kind, members) = (spec.kind, spec.task_count);
    if !(1..=most).contains(&members) {
        return invalid(format!(
            "{kind} work has 1 to {most} members, not {members}"
        ));
    }
    let sized = spec.resources.cpu > Millicores::ZERO && spec.resources.memory > Bytes::ZERO;
    if kind != WorkKind::Service && !sized {
        return invalid(format!("{kind} work must need processors and memory"));
    }
    Ok(())
}

fn check_size(spec: &WorkSpec, team: &TeamPolicy, view: &AdmissionView) -> Result<(), Refusal> {
    let never_fits = || {
        let (members, need) = (spec.task_count, spec.resources);
        let message = format!("no hosts could hold {members} members of {need}");
        Refusal::new(ResultCode::NeverFits, message)
    };
    let whole = spec.total_resources().ok_or_else(never_fits)?;
    if !whole.fits_in(&team.quota) {
        let (name, quota) = (&spec.team, team.quota);
        let message = format!("the work needs {whole}, and the quota of team {name} is {quota}");
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
        let message = "the deadline passed before the work arrived";
        return Err(Refusal::new(ResultCode::DeadlinePassed, message));
    }
    let Some(rate) = view.start_rate else {
        return Ok(());
    };
    let wait = time_to_start(view.entries_ahead, rate);
    if view.now.after(wait) <= deadline {
        return Ok(());
    }
    let left = deadline.since(view.now);
    let message = format!("the work would wait {wait}, and its deadline is in {left}");
    let refusal = Refusal::new(ResultCode::DeadlineInfeasible, message);
    let excess = Millis::new(wait.get().saturating_sub(left.get()));
    Err(refusal.retry_after(clamp(excess)))
}

/// Returns the time after which a tenth of `waiting` items have started.
fn retry_after(rate: Option<Rate>, waiting: u64) -> Millis {
    rate.map_or(RETRY_AFTER_UNKNOWN, |rate| {
        clamp(time_to_start(waiting.div_ceil(10), rate))
    })
}

fn clamp(wait: Millis) -> Millis {
    wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)
}
