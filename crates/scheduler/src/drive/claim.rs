//! The claim of a shard: a compare-and-swap of its head, then the replay of its journal.

use lagoon_core::journal::{
    Claim, ClaimResult, Head, JournalKeys, JournalLimits, Replay, Segment, StoreVersion,
};
use lagoon_core::membership::home_shard;
use lagoon_core::shard::{Shard, ShardConfig};
use lagoon_core::ticket::TicketLimits;
use lagoon_core::unit::Millis;
use lagoon_platform::PlatformError;
use lagoon_platform::store::{Precondition, PutOutcome, StoreEntry};

use crate::cell::ShardCell;
use crate::policy::POLICY_KEY;
use crate::util::BoxError;

/// Attempts to write a claim whose result is not known yet.
const CLAIM_ATTEMPTS: u32 = 5;
/// Attempts to read one part of the journal of a claimed shard.
const READ_ATTEMPTS: u32 = 10;
/// Delay between two attempts.
const RETRY_DELAY: Millis = Millis::new(200);

/// Claims a shard and rebuilds its state. Returns `None` if there is no policy, if another process was faster, or if
/// the version of the head is not `expected_head`.
pub(super) async fn claim(
    cell: &ShardCell,
    expected_head: Option<StoreVersion>,
) -> Result<Option<Shard>, BoxError> {
    let cx = cell.cx();
    // After a pause of this process, the watch may lag behind the policy that earlier owners already applied.
    if let Some(entry) = cx.store.get(POLICY_KEY).await? {
        cx.policy.update_from_document(&entry.value);
    }
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
    let version = current.as_ref().map(|(_, version)| *version);
    if expected_head.is_some() && version != expected_head {
        return Ok(None);
    }
    let process = cx.settings.process.clone();
    let address = cx.members.own_address();
    let claim = Claim::new(cell.id().clone(), process.clone(), address, current.clone());
    let Some(version) = write_claim(cell, &claim, &key, version).await? else {
        return Ok(None);
    };
    let limits = JournalLimits::default();
    let mut replay = Replay::new(cell.id().clone(), claim.head().clone(), limits.retention);
    for key in claim.read_keys() {
        let entry = read_key(cell, &key).await?;
        let entry = entry.ok_or_else(|| format!("{key} is missing"))?;
        replay.add(key, serde_json::from_str::<Segment>(&entry.value)?);
    }
    let state = replay.finish()?;
    let config = ShardConfig {
        task_ttl: cx.settings.lease.task_ttl,
        shard: cell.id().clone(),
        process,
        lease_margin: cx.settings.lease.margin,
        record_timeout: cx.settings.record_timeout,
        tickets: TicketLimits::default(),
        journal: limits,
    };
    let mut shard = Shard::new(config, claim.head().clone(), version, state, policy);
    let number = cell.id().number();
    shard.forget_borrowed_workers(|worker| home_shard(worker, cx.settings.shards) == Some(number));
    Ok(Some(shard))
}

/// Reads a part of the journal. Retries because the claim has taken effect, so that a failure would leave the shard
/// without an owner.
async fn read_key(cell: &ShardCell, key: &str) -> Result<Option<StoreEntry>, PlatformError> {
    let mut attempts = 1;
    loop {
        match cell.cx().store.get(key).await {
            Err(e) if attempts < READ_ATTEMPTS => {
                tracing::debug!("shard: read of {key} failed, retrying: {e}")
            }
            result => return result,
        }
        attempts += 1;
        tokio::time::sleep(RETRY_DELAY.to_duration()).await;
    }
}

/// Writes a claim. Repeats it while it has had no effect, because an earlier attempt may still take effect.
async fn write_claim(
    cell: &ShardCell,
    claim: &Claim,
    key: &str,
    expect: Option<StoreVersion>,
) -> Result<Option<StoreVersion>, BoxError> {
    for _ in 1..CLAIM_ATTEMPTS {
        match try_write_claim(cell, claim, key, expect).await? {
            ClaimResult::Won(version) => return Ok(Some(version)),
            ClaimResult::Pending => tokio::time::sleep(RETRY_DELAY.to_duration()).await,
            ClaimResult::Superseded { owner, epoch } => {
                let id = cell.id();
                tracing::info!("shard: claim of {id} failed, {owner} claimed it at epoch {epoch}");
                return Ok(None);
            }
            ClaimResult::Missing => return Err(format!("{key} is missing").into()),
        }
    }
    Ok(None)
}

async fn try_write_claim(
    cell: &ShardCell,
    claim: &Claim,
    key: &str,
    expect: Option<StoreVersion>,
) -> Result<ClaimResult, BoxError> {
    let cx = cell.cx();
    let value = serde_json::to_string(claim.head())?;
    let expect = match expect {
        Some(version) => Precondition::Version(version.get()),
        None => Precondition::Absent,
    };
    if let Ok(PutOutcome::Written(version)) = cx.store.put(key, &value, expect, None).await {
        return Ok(ClaimResult::Won(StoreVersion::new(version)));
    }
    // A conflict may be the effect of an earlier attempt whose response was lost.
    let current = cx
        .store
        .get(key)
        .await?
        .map(|entry| parse_head(&entry))
        .transpose()?;
    let current = current.as_ref().map(|(head, version)| (head, *version));
    Ok(claim.evaluate(current))
}

fn parse_head(entry: &StoreEntry) -> Result<(Head, StoreVersion), BoxError> {
    let head = serde_json::from_str(&entry.value)?;
    Ok((head, StoreVersion::new(entry.version)))
}
