//! Plans of commands that the owners of shards execute.

use std::collections::BTreeMap;

use lagoon_core::id::{HostId, ProcessId, ShardId, WorkId};
use lagoon_core::unit::Timestamp;
use lagoon_core::{Refusal, ResultCode};
use lagoon_language::Command;
use lagoon_language::syntax::{Filter, WorkAction, WorkSelector};
use lagoon_wire::v1;
use lagoon_wire::v1::apply_request::Change;

use crate::change::planner::EXAMPLES;
use crate::change::{ItemKind, Plan, PlannedChange, ShardChange};
use crate::query::matches_work;
use crate::schedulers::{SchedulerPool, Snapshot, WorkList};
use crate::util::Versions;

/// Plans `cancel`, `hold` and `release`.
pub(super) async fn plan_work(
    schedulers: &SchedulerPool,
    snapshot: Snapshot,
    command: &Command,
    action: WorkAction,
    selector: &WorkSelector,
    now: Timestamp,
) -> Result<Plan, Refusal> {
    let mut list = match selector {
        WorkSelector::Ids(works) => by_id(schedulers, &snapshot, works).await?,
        WorkSelector::Filter(filter) => by_filter(schedulers, &snapshot, filter, now).await,
    };
    list.works.retain(|work| applies_to(action, &work.state));
    let ids: Vec<WorkId> = list
        .works
        .iter()
        .filter_map(|w| w.work.parse().ok())
        .collect();
    let running = list
        .works
        .iter()
        .filter(|work| is_started(&work.state))
        .count();
    let example = |work: &v1::WorkStatus| {
        let team = work.spec.as_ref().map_or("", |spec| spec.team.as_str());
        format!("{} {} {team}", work.work, work.state)
            .trim_end()
            .to_owned()
    };
    let examples = list.works.iter().take(EXAMPLES).map(example).collect();
    let stops = match action {
        WorkAction::Cancel => format!("{running} that are starting or running are stopped"),
        WorkAction::Hold => "no running work is stopped; held work does not start".to_owned(),
        WorkAction::Release => "no running work is stopped".to_owned(),
    };
    let undo = match action {
        WorkAction::Cancel => None,
        WorkAction::Hold => undo(WorkAction::Release, &ids),
        WorkAction::Release => undo(WorkAction::Hold, &ids),
    };
    let (changes, versions) = group_by_shard(&snapshot, action, &ids)?;
    let mut missing = snapshot.missing;
    missing.extend(list.missing);
    Ok(Plan {
        text: command.to_string(),
        item_kind: ItemKind::Work,
        affected: ids.iter().map(ToString::to_string).collect(),
        examples,
        stops,
        versions,
        undo,
        missing,
        change: planned_change(changes),
    })
}

async fn by_id(
    schedulers: &SchedulerPool,
    snapshot: &Snapshot,
    works: &[WorkId],
) -> Result<WorkList, Refusal> {
    let mut works = works.to_vec();
    works.sort();
    works.dedup();
    let mut list = WorkList::default();
    for work in &works {
        list.works.push(schedulers.work(snapshot, work).await?);
    }
    Ok(list)
}

async fn by_filter(
    schedulers: &SchedulerPool,
    snapshot: &Snapshot,
    filter: &Filter,
    now: Timestamp,
) -> WorkList {
    let mut list = schedulers.works(snapshot).await;
    list.works.retain(|work| matches_work(filter, work, now));
    list
}

fn applies_to(action: WorkAction, state: &str) -> bool {
    match action {
        WorkAction::Cancel => state != "ended",
        WorkAction::Hold => state == "waiting",
        WorkAction::Release => state == "held",
    }
}

fn is_started(state: &str) -> bool {
    matches!(state, "starting" | "running" | "unresolved")
}

/// Returns the command that undoes `action`, or `None` if it would list more work than the preview shows.
fn undo(action: WorkAction, works: &[WorkId]) -> Option<String> {
    let short = (1..=EXAMPLES).contains(&works.len());
    let selector = WorkSelector::Ids(works.to_vec());
    short.then(|| Command::Work(action, selector).to_string())
}

fn group_by_shard(
    snapshot: &Snapshot,
    action: WorkAction,
    works: &[WorkId],
) -> Result<(Vec<ShardChange>, Versions), Refusal> {
    let mut groups: BTreeMap<&ShardId, Vec<String>> = BTreeMap::new();
    for work in works {
        groups
            .entry(work.shard())
            .or_default()
            .push(work.to_string());
    }
    let mut changes = Vec::new();
    let mut versions = Versions::default();
    for (shard, works) in groups {
        let list = v1::WorkList { works };
        let change = match action {
            WorkAction::Cancel => Change::Cancel(list),
            WorkAction::Hold => Change::Hold(list),
            WorkAction::Release => Change::Release(list),
        };
        changes.push(shard_change(snapshot, shard, change, &mut versions)?);
    }
    Ok((changes, versions))
}

fn shard_change(
    snapshot: &Snapshot,
    shard: &ShardId,
    change: Change,
    versions: &mut Versions,
) -> Result<ShardChange, Refusal> {
    let (address, status) = snapshot.owner(shard)?;
    versions.add(format!("shard {shard} epoch"), status.epoch);
    Ok(ShardChange {
        shard: status.shard.clone(),
        epoch: status.epoch,
        address,
        change,
    })
}

fn planned_change(changes: Vec<ShardChange>) -> PlannedChange {
    match changes.is_empty() {
        true => PlannedChange::Nothing,
        false => PlannedChange::Shards(changes),
    }
}

/// Plans `confirm dead host`. Affects every shard that has a worker on the host, or that has unresolved work or is still
/// fencing, because workers of a previous owner are not listed.
pub(super) fn plan_confirm_dead_host(
    snapshot: Snapshot,
    command: &Command,
    host: &HostId,
) -> Result<Plan, Refusal> {
    let waits = |shard: &v1::ShardStatus| shard.unresolved > 0 || shard.state == "fencing";
    let has_host = |shard: &v1::ShardStatus| shard.workers.iter().any(|w| w.host == host.as_str());
    let mut versions = Versions::default();
    let mut changes = Vec::new();
    let mut unresolved = 0;
    for (address, shard) in snapshot.owned() {
        if has_host(shard) || waits(shard) {
            versions.add(format!("shard {} epoch", shard.shard), shard.epoch);
            unresolved += shard.unresolved;
            changes.push(ShardChange {
                shard: shard.shard.clone(),
                epoch: shard.epoch,
                address,
                change: Change::ConfirmDeadHost(host.to_string()),
            });
        }
    }
    if changes.is_empty() {
        let text = format!("no shard has a worker on host {host} or waits for one");
        return Err(Refusal::new(ResultCode::UnknownHost, text));
    }
    let affected: Vec<String> = changes.iter().map(|change| change.shard.clone()).collect();
    Ok(Plan {
        text: command.to_string(),
        item_kind: ItemKind::Shard,
        examples: affected.iter().take(EXAMPLES).cloned().collect(),
        affected,
        stops: format!(
            "work on the host is treated as lost; the shards have {unresolved} unresolved pieces of work"
        ),
        versions,
        undo: None,
        missing: snapshot.missing,
        change: PlannedChange::Shards(changes),
    })
}

/// Plans `hand over`.
pub(super) fn plan_hand_over(
    schedulers: &SchedulerPool,
    snapshot: Snapshot,
    command: &Command,
    shard: &ShardId,
    to: &ProcessId,
    now: Timestamp,
) -> Result<Plan, Refusal> {
    let members = schedulers.members.list_with_age(now);
    if !members
        .iter()
        .any(|(member, _)| member.process == to.as_str())
    {
        let text = format!("unknown scheduler {to}");
        return Err(Refusal::new(ResultCode::InvalidValue, text));
    }
    let mut versions = Versions::default();
    let change = Change::HandOverTo(to.to_string());
    let change = shard_change(&snapshot, shard, change, &mut versions)?;
    let (_, status) = snapshot.owner(shard)?;
    let example = format!("{shard} from {} to {to}", status.owner);
    let undo = status.owner.parse().ok().map(|owner| Command::HandOver {
        shard: shard.clone(),
        to: owner,
    });
    Ok(Plan {
        text: command.to_string(),
        item_kind: ItemKind::Shard,
        affected: vec![shard.to_string()],
        examples: vec![example],
        stops: "no running work is stopped; the shard accepts no new work during the handover"
            .to_owned(),
        versions,
        undo: undo.map(|undo| undo.to_string()),
        missing: snapshot.missing,
        change: PlannedChange::Shards(vec![change]),
    })
}
