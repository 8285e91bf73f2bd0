//! Plans of commands that the owners of shards carry out.

use std::collections::BTreeMap;

use lagoon_core::id::{HostId, ProcessId, ShardId, WorkId};
use lagoon_core::unit::Timestamp;
use lagoon_core::{Refusal, ResultCode};
use lagoon_language::Command;
use lagoon_language::syntax::{Filter, WorkAction, WorkSelector};
use lagoon_wire::v1;
use lagoon_wire::v1::apply_request::Change;

use crate::change::planner::EXAMPLES;
use crate::change::{Effect, Plan, ShardChange, Unit};
use crate::fleet::{Fleet, Snapshot, WorkList};
use crate::query::matches_work;
use crate::util::Versions;

/// Plans `cancel`, `hold` and `release`.
pub(super) async fn plan_work(
    fleet: &Fleet,
    snapshot: Snapshot,
    command: &Command,
    action: WorkAction,
    target: &WorkSelector,
    now: Timestamp,
) -> Result<Plan, Refusal> {
    let mut list = match target {
        WorkSelector::Ids(works) => named(fleet, &snapshot, works).await?,
        WorkSelector::Filter(filter) => matching(fleet, &snapshot, filter, now).await,
    };
    list.works.retain(|work| is_open_to(action, &work.state));
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
        WorkAction::Cancel => format!("{running} that run or start are stopped"),
        WorkAction::Hold => "nothing that runs stops; the others do not start".to_owned(),
        WorkAction::Release => "nothing stops".to_owned(),
    };
    let undo = match action {
        WorkAction::Cancel => None,
        WorkAction::Hold => undo(WorkAction::Release, &ids),
        WorkAction::Release => undo(WorkAction::Hold, &ids),
    };
    let (changes, versions) = by_shard(&snapshot, action, &ids)?;
    let mut missing = snapshot.missing;
    missing.extend(list.missing);
    Ok(Plan {
        text: command.to_string(),
        unit: Unit::Work,
        touched: ids.iter().map(ToString::to_string).collect(),
        examples,
        stops,
        versions,
        undo,
        missing,
        effect: or_nothing(changes),
    })
}

async fn named(fleet: &Fleet, snapshot: &Snapshot, works: &[WorkId]) -> Result<WorkList, Refusal> {
    let mut works = works.to_vec();
    works.sort();
    works.dedup();
    let mut list = WorkList::default();
    for work in &works {
        list.works.push(fleet.work(snapshot, work).await?);
    }
    Ok(list)
}

async fn matching(fleet: &Fleet, snapshot: &Snapshot, filter: &Filter, now: Timestamp) -> WorkList {
    let mut list = fleet.works(snapshot).await;
    list.works.retain(|work| matches_work(filter, work, now));
    list
}

fn is_open_to(action: WorkAction, state: &str) -> bool {
    match action {
        WorkAction::Cancel => state != "ended",
        WorkAction::Hold => state == "waiting",
        WorkAction::Release => state == "held",
    }
}

fn is_started(state: &str) -> bool {
    matches!(state, "starting" | "running" | "unresolved")
}

/// A command that names more work than the preview shows is not offered as an undo.
fn undo(action: WorkAction, works: &[WorkId]) -> Option<String> {
    let short = (1..=EXAMPLES).contains(&works.len());
    let target = WorkSelector::Ids(works.to_vec());
    short.then(|| Command::Work(action, target).to_string())
}

fn by_shard(
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
        changes.push(change_of(snapshot, shard, change, &mut versions)?);
    }
    Ok((changes, versions))
}

fn change_of(
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

fn or_nothing(changes: Vec<ShardChange>) -> Effect {
    match changes.is_empty() {
        true => Effect::Nothing,
        false => Effect::Shards(changes),
    }
}

/// Plans `confirm dead host`: every shard that has a worker of the host, or that still waits for workers of its previous
/// owner, which are not listed.
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
        let text = format!("no shard has a worker of host {host} or waits for one");
        return Err(Refusal::new(ResultCode::UnknownHost, text));
    }
    let touched: Vec<String> = changes.iter().map(|change| change.shard.clone()).collect();
    Ok(Plan {
        text: command.to_string(),
        unit: Unit::Shard,
        examples: touched.iter().take(EXAMPLES).cloned().collect(),
        touched,
        stops: format!(
            "work on the host counts as lost; the shards have {unresolved} unresolved pieces of work"
        ),
        versions,
        undo: None,
        missing: snapshot.missing,
        effect: Effect::Shards(changes),
    })
}

/// Plans `hand over`.
pub(super) fn plan_hand_over(
    fleet: &Fleet,
    snapshot: Snapshot,
    command: &Command,
    shard: &ShardId,
    to: &ProcessId,
    now: Timestamp,
) -> Result<Plan, Refusal> {
    let members = fleet.members.heard(now);
    if !members
        .iter()
        .any(|(member, _)| member.process == to.as_str())
    {
        let text = format!("no scheduler {to} is known");
        return Err(Refusal::new(ResultCode::InvalidValue, text));
    }
    let mut versions = Versions::default();
    let change = Change::HandOverTo(to.to_string());
    let change = change_of(&snapshot, shard, change, &mut versions)?;
    let (_, status) = snapshot.owner(shard)?;
    let example = format!("{shard} from {} to {to}", status.owner);
    let undo = status.owner.parse().ok().map(|owner| Command::HandOver {
        shard: shard.clone(),
        to: owner,
    });
    Ok(Plan {
        text: command.to_string(),
        unit: Unit::Shard,
        touched: vec![shard.to_string()],
        examples: vec![example],
        stops: "nothing that runs stops; the shard takes no new work during the handover"
            .to_owned(),
        versions,
        undo: undo.map(|undo| undo.to_string()),
        missing: snapshot.missing,
        effect: Effect::Shards(vec![change]),
    })
}
