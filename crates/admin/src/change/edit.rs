//! Edits of policy values. Each returns the setting that restores the previous value, or `None` if there was no value.

use lagoon_core::id::ServiceName;
use lagoon_core::policy::{KindPolicy, Policy, ServicePolicy, TeamPolicy, Weight};
use lagoon_core::work::WorkKind;
use lagoon_core::{Refusal, ResultCode};
use lagoon_language::syntax::{
    HealthChange, KindChange, QueueChange, ServiceChange, Setting, TeamChange,
};

const DEFAULT_QUEUE_LIMIT: u64 = 10_000;

/// Applies a setting to the policy.
///
/// # Errors
///
/// Returns `unknown_team` for a weight or queue limit of a team that the policy does not list.
pub(super) fn set(policy: &mut Policy, setting: &Setting) -> Result<Option<Setting>, Refusal> {
    let undo = match setting {
        Setting::Team(name, change) => {
            let mut team = policy.teams.get(name).cloned();
            let undo = set_team(&mut team, change, &format!("team {name}"))?;
            policy.teams.extend(team.map(|team| (name.clone(), team)));
            undo.map(|undo| Setting::Team(name.clone(), undo))
        }
        Setting::DefaultTeam(change) => {
            set_team(&mut policy.default_team, change, "default_team")?.map(Setting::DefaultTeam)
        }
        Setting::Kind(kind, change) => {
            let shares = match kind {
                WorkKind::Service => &mut policy.kinds.service,
                WorkKind::Batch => &mut policy.kinds.batch,
                WorkKind::Gang => &mut policy.kinds.gang,
            };
            Some(Setting::Kind(*kind, set_kind(shares, change)))
        }
        Setting::Service(name, change) => set_service(policy, name, change),
        Setting::Queue(change) => Some(Setting::Queue(set_queue(policy, change))),
        Setting::Health(change) => Some(Setting::Health(set_health(policy, change))),
        Setting::RetryBudget(share) => {
            let old = std::mem::replace(&mut policy.retry_budget_percent, *share);
            Some(Setting::RetryBudget(old))
        }
    };
    Ok(undo)
}

fn replace<T: Clone>(current: &mut T, value: &T) -> T {
    std::mem::replace(current, value.clone())
}

/// Sets a value of a team. Setting a quota creates the team; the other values require an existing team.
fn set_team(
    team: &mut Option<TeamPolicy>,
    change: &TeamChange,
    name: &str,
) -> Result<Option<TeamChange>, Refusal> {
    let Some(existing) = team else {
        let TeamChange::Quota(quota) = change else {
            let text = format!("the policy has no {name}; set its quota first");
            return Err(Refusal::new(ResultCode::UnknownTeam, text));
        };
        *team = Some(TeamPolicy {
            weight: Weight::new(1),
            quota: *quota,
            queue_limit: DEFAULT_QUEUE_LIMIT,
        });
        return Ok(None);
    };
    Ok(Some(match change {
        TeamChange::Quota(quota) => TeamChange::Quota(replace(&mut existing.quota, quota)),
        TeamChange::Weight(weight) => TeamChange::Weight(replace(&mut existing.weight, weight)),
        TeamChange::QueueLimit(limit) => {
            TeamChange::QueueLimit(replace(&mut existing.queue_limit, limit))
        }
    }))
}

fn set_kind(shares: &mut KindPolicy, change: &KindChange) -> KindChange {
    match change {
        KindChange::Guaranteed(share) => {
            KindChange::Guaranteed(replace(&mut shares.guaranteed_percent, share))
        }
        KindChange::Ceiling(share) => {
            KindChange::Ceiling(replace(&mut shares.ceiling_percent, share))
        }
    }
}

/// Sets a value of a service. The first value creates the service with defaults; no command can undo that.
fn set_service(policy: &mut Policy, name: &ServiceName, change: &ServiceChange) -> Option<Setting> {
    let existing = policy.services.contains_key(name);
    let service: &mut ServicePolicy = policy.services.entry(name.clone()).or_default();
    let undo = match change {
        ServiceChange::RequestTimeout(timeout) => {
            ServiceChange::RequestTimeout(replace(&mut service.request_timeout, timeout))
        }
        ServiceChange::QueueLimit(limit) => {
            ServiceChange::QueueLimit(replace(&mut service.queue_limit, limit))
        }
        ServiceChange::Repeatability(value) => {
            ServiceChange::Repeatability(replace(&mut service.repeatability, value))
        }
        ServiceChange::Journal(value) => {
            ServiceChange::Journal(replace(&mut service.journal, value))
        }
    };
    existing.then(|| Setting::Service(name.clone(), undo))
}

fn set_queue(policy: &mut Policy, change: &QueueChange) -> QueueChange {
    match change {
        QueueChange::Items(items) => QueueChange::Items(replace(&mut policy.queue.items, items)),
        QueueChange::Bytes(bytes) => QueueChange::Bytes(replace(&mut policy.queue.bytes, bytes)),
    }
}

fn set_health(policy: &mut Policy, change: &HealthChange) -> HealthChange {
    let health = &mut policy.health;
    match change {
        HealthChange::Window(time) => HealthChange::Window(replace(&mut health.window, time)),
        HealthChange::Failures(count) => {
            HealthChange::Failures(replace(&mut health.failures, count))
        }
        HealthChange::Rest(time) => HealthChange::Rest(replace(&mut health.rest, time)),
        HealthChange::RestedShareCap(share) => {
            HealthChange::RestedShareCap(replace(&mut health.rested_share_cap_percent, share))
        }
    }
}
