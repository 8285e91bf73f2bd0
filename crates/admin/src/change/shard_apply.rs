use lagoon_core::{Refusal, RefusalClass, ResultCode};
use lagoon_wire::v1;
use tokio::task::JoinSet;

use crate::audit::{ChangeResult, Record};
use crate::change::ShardChange;
use crate::fleet::Fleet;

/// Sends each part of a command to the owner of its shard, all at once.
pub(super) async fn send(
    fleet: &Fleet,
    record: &Record,
    changes: Vec<ShardChange>,
) -> ChangeResult {
    let mut calls = JoinSet::new();
    for change in changes {
        let req = v1::ApplyRequest {
            shard: change.shard.clone(),
            epoch: change.epoch,
            command: record.command.to_string(),
            operator: record.operator.to_string(),
            text: record.text.clone(),
            change: Some(change.change),
        };
        let fleet = fleet.clone();
        calls.spawn(async move {
            let answer = fleet.apply(change.address, req).await;
            (change.shard, answer.map(|answer| answer.changed))
        });
    }
    let mut answers = calls.join_all().await;
    answers.sort_by(|(a, _), (b, _)| a.cmp(b));
    summarize(answers)
}

/// Joins the answers. Without any success the result is a refusal, or not known if one shard may have changed.
fn summarize(answers: Vec<(String, Result<u32, Refusal>)>) -> ChangeResult {
    let mut done = Vec::new();
    let mut refusals = Vec::new();
    for (shard, answer) in answers {
        match answer {
            Ok(changed) => done.push(u64::from(changed)),
            Err(refusal) => refusals.push((shard, refusal)),
        }
    }
    let is_unknown = |refusal: &Refusal| refusal.class() == RefusalClass::NotKnown;
    if done.is_empty() {
        let unknown = refusals.iter().find(|(_, refusal)| is_unknown(refusal));
        if let Some((_, refusal)) = unknown {
            return ChangeResult::NotKnown(refusal.clone());
        }
        if let Some((_, refusal)) = refusals.first() {
            return ChangeResult::Refused(refusal.clone());
        }
    }
    // A shard without the host of `confirm dead host` has nothing to change.
    let failed = refusals
        .iter()
        .filter(|(_, refusal)| refusal.code != ResultCode::UnknownHost);
    ChangeResult::Applied {
        changed: done.iter().sum(),
        failed: failed
            .map(|(shard, refusal)| format!("{shard}: {refusal}"))
            .collect(),
    }
}
