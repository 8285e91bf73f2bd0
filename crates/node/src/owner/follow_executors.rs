use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::{Event, Revision, StoreItem, WatchOutcome};
use lagoon_adapter::{EXECUTOR_PREFIX, UnreadableItems, decode_entry};
use lagoon_core::unit::Millis;
use lagoon_jobs::id::ExecutorId;
use lagoon_platform::PlatformError;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::owner::{Shard, drive_executor};

/// Longest wait of one watch, so that a dead connection is detected soon.
const WATCH_WAIT: Millis = Millis::new(1_500);
/// Delay before the next watch, in which changes are batched because each watch is billed.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay after an outage of the store, in which executors whose entries expired meanwhile register again.
const RELIST_DELAY: Duration = Duration::from_millis(2_000);

/// Follows the entries of executors in the store and starts a driver for each new executor.
pub(super) async fn follow(cx: Context, shard: Arc<Shard>, mut at: Revision) {
    let mut drivers = JoinSet::new();
    loop {
        let result = match watch(&cx, &shard, &mut at, &mut drivers).await {
            Ok(()) => relist(&cx, &shard, &mut drivers)
                .await
                .map(|read| at = read),
            Err(e) => Err(e),
        };
        if let Err(e) = result {
            tracing::warn!("owner: watch of executors failed, it is repeated: {e}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Applies changes until the store no longer has the history after `at`.
async fn watch(
    cx: &Context,
    shard: &Arc<Shard>,
    at: &mut Revision,
    drivers: &mut JoinSet<()>,
) -> Result<(), PlatformError> {
    loop {
        match cx
            .store
            .watch_foreign(EXECUTOR_PREFIX, *at, WATCH_WAIT)
            .await?
        {
            WatchOutcome::HistoryLost => return Ok(()),
            WatchOutcome::Events { events, next } => {
                *at = next.max(*at);
                let is_empty = events.is_empty();
                let mut unreadable = UnreadableItems::default();
                for event in &events {
                    match event {
                        Event::Written(item) => apply(cx, shard, item, drivers, &mut unreadable),
                        Event::Removed(key) => unlist(shard, key),
                    }
                }
                log_unreadable(&unreadable);
                if !is_empty {
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
        }
    }
}

async fn relist(
    cx: &Context,
    shard: &Arc<Shard>,
    drivers: &mut JoinSet<()>,
) -> Result<Revision, PlatformError> {
    tracing::info!(
        "owner: store no longer has the history of the watch, listing all executors again"
    );
    tokio::time::sleep(RELIST_DELAY).await;
    let (items, at) = cx.store.list_foreign(EXECUTOR_PREFIX).await?;
    let mut unreadable = UnreadableItems::default();
    items
        .iter()
        .for_each(|item| apply(cx, shard, item, drivers, &mut unreadable));
    log_unreadable(&unreadable);
    let listed: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
    for (_, id) in shard.with(|dispatcher| dispatcher.executors()) {
        let key = format!("{EXECUTOR_PREFIX}{id}");
        if !listed.contains(key.as_str()) {
            unlist(shard, &key);
        }
    }
    Ok(at)
}

/// Logs entries that name no executor to use.
pub(super) fn log_unreadable(unreadable: &UnreadableItems) {
    if !unreadable.is_empty() {
        tracing::warn!(
            "owner: invalid executor entries, these executors are not used: {unreadable}"
        );
    }
}

fn apply(
    cx: &Context,
    shard: &Arc<Shard>,
    item: &StoreItem,
    drivers: &mut JoinSet<()>,
    unreadable: &mut UnreadableItems,
) {
    let entry = match decode_entry(&item.key, &item.value) {
        Ok(entry) => entry,
        Err(reason) => {
            unreadable.push(&item.key, reason);
            unlist(shard, &item.key);
            return;
        }
    };
    let id = entry.id.clone();
    let draining = entry.draining;
    let (slot, is_new) = shard.change(|dispatcher| dispatcher.observe(entry, cx.clock.now()));
    tracing::debug!(executor = %id, draining, is_new, "owner: executor entry read");
    if is_new {
        tracing::info!(executor = %id, "owner: executor appeared");
        shard.fleet_changed.notify_one();
        drivers.spawn(drive_executor::drive(cx.clone(), shard.clone(), slot, id));
    } else {
        shard.waker(slot).notify_one();
    }
}

fn unlist(shard: &Shard, key: &str) {
    let id = key
        .strip_prefix(EXECUTOR_PREFIX)
        .and_then(|id| id.parse::<ExecutorId>().ok());
    if let Some(id) = id
        && shard.change(|dispatcher| dispatcher.unlist(&id)).is_some()
    {
        tracing::info!(executor = %id, "owner: executor is no longer listed");
    }
}
