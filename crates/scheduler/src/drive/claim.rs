//! The claim of a shard: a compare-and-swap of its head, then the replay of its journal.

use lagoon_core::journal::{
    Claim, ClaimResult, Head, JournalKeys, JournalLimits, Replay, Segment, StoreVersion,
};
use lagoon_core::shard::{Shard, ShardConfig};
use lagoon_core::ticket::TicketLimits;
use lagoon_platform::store::{Expect, PutOutcome, StoreEntry};

use crate::cell::ShardCell;
use crate::util::BoxError;

/// Claims a shard and rebuilds its state; none if another process was faster.
pub(super) async fn claim(cell: &ShardCell) -> Result<Option<Shard>, BoxError> {
    let cx = cell.cx();
    let Some(policy) = cx.policy.get() else {
        return Ok(None);
    };
    let key = JournalKeys::new(cell.id()).head();
    let current = cx
        .store
        .get(&key)
        .await?
        .map(|entry| parse_head(&entry))
        .transpose()?;
    let process = cx.settings.process.clone();
    let address = cx.members.own_address();
    let claim = Claim::new(cell.id().clone(), process.clone(), address, current.clone());
    let Some(version) = write(cell, &claim, &key, current.map(|(_, version)| version)).await?
    else {
        return Ok(None);
    };
    let limits = JournalLimits::default();
    let mut replay = Replay::new(cell.id().clone(), claim.head().clone(), limits.retention);
    for key in claim.read_keys() {
        let entry = cx.store.get(&key).await?;
        let entry = entry.ok_or_else(|| format!("{key} is missing"))?;
        replay.add(key, serde_json::from_str::<Segment>(&entry.value)?);
    }
    let state = replay.finish()?;
    let config = ShardConfig {
        shard: cell.id().clone(),
        process,
        lease_margin: cx.settings.lease.margin,
        record_timeout: cx.settings.record_timeout,
        tickets: TicketLimits::default(),
        journal: limits,
    };
    Ok(Some(Shard::new(
        config,
        claim.head().clone(),
        version,
        state,
        policy,
    )))
}

async fn write(
    cell: &ShardCell,
    claim: &Claim,
    key: &str,
    expect: Option<StoreVersion>,
) -> Result<Option<StoreVersion>, BoxError> {
    let cx = cell.cx();
    let value = serde_json::to_string(claim.head())?;
    let expect = match expect {
        Some(version) => Expect::Version(version.get()),
        None => Expect::Absent,
    };
    if let Ok(PutOutcome::Written(version)) = cx.store.put(key, &value, expect, None).await {
        return Ok(Some(StoreVersion::new(version)));
    }
    // A conflict may be the effect of an earlier try whose answer was lost.
    let current = cx
        .store
        .get(key)
        .await?
        .map(|entry| parse_head(&entry))
        .transpose()?;
    let current = current.as_ref().map(|(head, version)| (head, *version));
    match claim.judge(current) {
        ClaimResult::Won(version) => Ok(Some(version)),
        ClaimResult::Pending => Ok(None),
        ClaimResult::Superseded { owner, epoch } => {
            tracing::info!(
                "shard: {} was claimed by {owner} at epoch {epoch}",
                cell.id()
            );
            Ok(None)
        }
        ClaimResult::Missing => Err(format!("{key} is missing").into()),
    }
}

fn parse_head(entry: &StoreEntry) -> Result<(Head, StoreVersion), BoxError> {
    let head = serde_json::from_str(&entry.value)?;
    Ok((head, StoreVersion::new(entry.version)))
}
