//! Plans of commands that change the policy.

use std::collections::BTreeSet;

use lagoon_core::id::HostId;
use lagoon_core::policy::Policy;
use lagoon_core::{Refusal, ResultCode};
use lagoon_language::Command;
use lagoon_language::syntax::{DrainTarget, Setting};

use crate::change::planner::EXAMPLES;
use crate::change::{ItemKind, Plan, PlannedChange, StoredPolicy, edit};
use crate::schedulers::Snapshot;
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
    let mut plan = new_plan(command, ItemKind::PolicyValue, base, next)?;
    let changes = !matches!(plan.change, PlannedChange::Nothing);
    plan.undo = undo
        .filter(|_| changes)
        .map(|undo| Command::Set(undo).to_string());
    plan.stops = "no running work is stopped".to_owned();
    if changes {
        plan.affected = vec![key];
        plan.examples = vec![example];
    }
    Ok(plan)
}

/// Plans `drain` and `undrain`.
pub(super) fn plan_drain(
    command: &Command,
    target: &DrainTarget,
    drained: bool,
    base: StoredPolicy,
    snapshot: &Snapshot,
) -> Result<Plan, Refusal> {
    let hosts = target_hosts(target, &base.policy, snapshot)?;
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
    let mut plan = new_plan(command, ItemKind::Host, base, next)?;
    plan.stops = match drained {
        true => "no running work is stopped; the hosts get no new work",
        false => "no running work is stopped; the hosts get new work again",
    }
    .to_owned();
    let undo = match drained {
        true => Command::Undrain(target.clone()),
        false => Command::Drain(target.clone()),
    };
    // If some hosts already had the requested state, the opposite command would change them too and is not an undo.
    plan.undo = (changed.len() == all).then(|| undo.to_string());
    plan.examples = changed.iter().take(EXAMPLES).cloned().collect();
    plan.affected = changed;
    plan.missing = snapshot.missing.clone();
    Ok(plan)
}

fn target_hosts(
    target: &DrainTarget,
    policy: &Policy,
    snapshot: &Snapshot,
) -> Result<BTreeSet<HostId>, Refusal> {
    let workers = snapshot.workers();
    let matching = workers.filter(|(_, worker)| match target {
        DrainTarget::Host(host) => worker.host == host.as_str(),
        DrainTarget::Rack(rack) => worker.rack == rack.as_str(),
    });
    let mut hosts: BTreeSet<HostId> = matching
        .filter_map(|(_, worker)| worker.host.parse().ok())
        .collect();
    if let DrainTarget::Host(host) = target
        && policy.drained_hosts.contains(host)
    {
        // A drained host may no longer be in the cluster; its drain can still be ended.
        hosts.insert(host.clone());
    }
    if hosts.is_empty() {
        let text = format!("no known worker on {target}");
        return Err(Refusal::new(ResultCode::UnknownHost, text));
    }
    Ok(hosts)
}

fn new_plan(
    command: &Command,
    item_kind: ItemKind,
    base: StoredPolicy,
    mut next: Policy,
) -> Result<Plan, Refusal> {
    let mut versions = Versions::default();
    versions.add("policy", base.policy.version.get());
    let change = match next == base.policy {
        true => PlannedChange::Nothing,
        false => {
            next.version = base.policy.version.next();
            validate(&next)?;
            PlannedChange::Policy {
                base: Box::new(base),
                next: Box::new(next),
            }
        }
    };
    Ok(Plan {
        text: command.to_string(),
        item_kind,
        affected: Vec::new(),
        examples: Vec::new(),
        stops: String::new(),
        versions,
        undo: None,
        missing: Vec::new(),
        change,
    })
}

fn validate(policy: &Policy) -> Result<(), Refusal> {
    let problems = policy.validate();
    if problems.is_empty() {
        return Ok(());
    }
    let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
    Err(Refusal::new(ResultCode::InvalidPolicy, problems.join("; ")))
}
