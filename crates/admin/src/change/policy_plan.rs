//! Plans of commands that change the policy.

use std::collections::BTreeSet;

use lagoon_core::id::HostId;
use lagoon_core::policy::Policy;
use lagoon_core::{Refusal, ResultCode};
use lagoon_language::Command;
use lagoon_language::syntax::{DrainTarget, Setting};

use crate::change::planner::EXAMPLES;
use crate::change::{Effect, Plan, StoredPolicy, Unit, edit};
use crate::fleet::Snapshot;
use crate::util::Versions;

/// Plans `set`.
pub(super) fn plan_set(
    command: &Command,
    setting: &Setting,
    base: StoredPolicy,
) -> Result<Plan, Refusal> {
    let mut next = base.policy.clone();
    let undo = edit::set(&mut next, setting)?;
    let key = setting.key();
    let example = match &undo {
        Some(old) => format!("{old} becomes {setting}"),
        None => format!("{setting} is new"),
    };
    let mut plan = start(command, Unit::PolicyValue, base, next)?;
    let changes = !matches!(plan.effect, Effect::Nothing);
    plan.undo = undo
        .filter(|_| changes)
        .map(|undo| Command::Set(undo).to_string());
    plan.stops = "nothing that runs stops".to_owned();
    if changes {
        plan.touched = vec![key];
        plan.examples = vec![example];
    }
    Ok(plan)
}

/// Plans `drain` and `undrain`.
pub(super) fn plan_drain(
    command: &Command,
    place: &DrainTarget,
    drained: bool,
    base: StoredPolicy,
    snapshot: &Snapshot,
) -> Result<Plan, Refusal> {
    let hosts = hosts_of(place, &base.policy, snapshot)?;
    let mut next = base.policy.clone();
    let mut changed = Vec::new();
    let all = hosts.len();
    for host in hosts {
        let is_change = match drained {
            true => next.drained_hosts.insert(host.clone()),
            false => next.drained_hosts.remove(&host),
        };
        if is_change {
            changed.push(host.to_string());
        }
    }
    let mut plan = start(command, Unit::Host, base, next)?;
    plan.stops = match drained {
        true => "the hosts get no new work; what runs there goes on",
        false => "nothing stops; the hosts get new work again",
    }
    .to_owned();
    let undo = match drained {
        true => Command::Undrain(place.clone()),
        false => Command::Drain(place.clone()),
    };
    // The opposite command would also change the hosts that this one leaves as they are.
    plan.undo = (changed.len() == all).then(|| undo.to_string());
    plan.examples = changed.iter().take(EXAMPLES).cloned().collect();
    plan.touched = changed;
    plan.missing = snapshot.missing.clone();
    Ok(plan)
}

fn hosts_of(
    place: &DrainTarget,
    policy: &Policy,
    snapshot: &Snapshot,
) -> Result<BTreeSet<HostId>, Refusal> {
    let workers = snapshot.workers();
    let of_place = workers.filter(|(_, worker)| match place {
        DrainTarget::Host(host) => worker.host == host.as_str(),
        DrainTarget::Rack(rack) => worker.rack == rack.as_str(),
    });
    let mut hosts: BTreeSet<HostId> = of_place
        .filter_map(|(_, worker)| worker.host.parse().ok())
        .collect();
    if let DrainTarget::Host(host) = place
        && policy.drained_hosts.contains(host)
    {
        // A drained host may be gone from the fleet; its drain can still be ended.
        hosts.insert(host.clone());
    }
    if hosts.is_empty() {
        let text = format!("no worker of {place} is known");
        return Err(Refusal::new(ResultCode::UnknownHost, text));
    }
    Ok(hosts)
}

fn start(
    command: &Command,
    unit: Unit,
    base: StoredPolicy,
    mut next: Policy,
) -> Result<Plan, Refusal> {
    let mut versions = Versions::default();
    versions.add("policy", base.policy.version.get());
    let effect = match next == base.policy {
        true => Effect::Nothing,
        false => {
            next.version = base.policy.version.next();
            check(&next)?;
            Effect::Policy {
                base: Box::new(base),
                next: Box::new(next),
            }
        }
    };
    Ok(Plan {
        text: command.to_string(),
        unit,
        touched: Vec::new(),
        examples: Vec::new(),
        stops: String::new(),
        versions,
        undo: None,
        missing: Vec::new(),
        effect,
    })
}

fn check(policy: &Policy) -> Result<(), Refusal> {
    let problems = policy.validate();
    if problems.is_empty() {
        return Ok(());
    }
    let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
    Err(Refusal::new(ResultCode::InvalidPolicy, problems.join("; ")))
}
