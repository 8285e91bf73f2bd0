use lagoon_core::{Refusal, RefusalClass, ResultCode};
use lagoon_wire::v1;
use tokio::task::JoinSet;

use crate::audit::{ChangeResult, Record};
use crate::change::ShardChange;
use crate::schedulers::SchedulerPool;

/// Sends the changes to the owners of their shards concurrently.
pub(super) async fn send(
    schedulers: &SchedulerPool,
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
        let schedulers = schedulers.clone();
        calls.spawn(async move {
            let response = schedulers.apply(change.address, req).await;
            (change.shard, response.map(|response| response.changed))
        });
    }
    let mut responses = calls.join_all().await;
    responses.sort_by(|(a, _), (b, _)| a.cmp(b));
    summarize(responses)
}

/// Combines the responses. If no shard applied the change, the result is `NotKnown` if one of them may have done so, and
/// otherwise the first refusal.
fn summarize(responses: Vec<(String, Result<u32, Refusal>)>) -> ChangeResult {
    let mut done = Vec::new();
    let mut refusals = Vec::new();
    for (shard, response) in responses {
        match response {
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
    // For `confirm dead host`, a shard without workers on the host has nothing to change.
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
