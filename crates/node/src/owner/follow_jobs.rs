use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::{Event, Revision, StoreItem, WatchOutcome};
use lagoon_core::unit::Millis;
use lagoon_jobs::job::JobRecord;
use lagoon_platform::PlatformError;

use crate::cell::Keys;
use crate::context::Context;
use crate::owner::Shard;

/// Longest wait of one watch, so that a dead connection is detected soon.
const WATCH_WAIT: Millis = Millis::new(1_500);
/// Delay before the next watch, in which changes are batched because each watch is billed. Members notify the owner of jobs
/// that they store, so the watch is needed only for missed notifications and for cancellations.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Follows jobs and cancellations in the store and passes them to the dispatcher.
pub(super) async fn follow(cx: Context, shard: Arc<Shard>, mut at: Revision) {
    loop {
        let result = match watch(&cx, &shard, &mut at).await {
            Ok(()) => relist(&cx, &shard).await.map(|read| at = read),
            Err(e) => Err(e),
        };
        if let Err(e) = result {
            tracing::warn!("owner: watch of jobs failed, it is repeated: {e}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Applies changes until the store no longer has the history after `at`.
async fn watch(cx: &Context, shard: &Shard, at: &mut Revision) -> Result<(), PlatformError> {
    loop {
        match cx.store.watch(Keys::JOBS, *at, WATCH_WAIT).await? {
            WatchOutcome::HistoryLost => return Ok(()),
            WatchOutcome::Events { events, next } => {
                *at = next.max(*at);
                let is_empty = events.is_empty();
                for event in &events {
                    // Only the owner removes jobs, and it has forgotten them already.
                    if let Event::Written(item) = event {
                        apply(cx, shard, item);
                    }
                }
                if !is_empty {
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
        }
    }
}

async fn relist(cx: &Context, shard: &Shard) -> Result<Revision, PlatformError> {
    tracing::info!("owner: store no longer has the history of the watch, listing all jobs again");
    let (mut items, at) = cx.store.list(Keys::JOBS).await?;
    // A cancellation has no effect unless its job is known, so jobs are applied first.
    items.sort_by_key(|item| Keys::parse_job(&item.key).is_some_and(|(_, cancelled)| cancelled));
    items.iter().for_each(|item| apply(cx, shard, item));
    Ok(at)
}

fn apply(cx: &Context, shard: &Shard, item: &StoreItem) {
    let now = cx.clock.now();
    match Keys::parse_job(&item.key) {
        Some((id, true)) => shard.change(|dispatcher| dispatcher.cancel(id, now)),
        Some((id, false)) => match serde_json::from_slice::<JobRecord>(&item.value) {
            Ok(record) => shard.change(|dispatcher| dispatcher.submit(id, record, now)),
            Err(e) => {
                tracing::error!(job = %id, "owner: stored job is malformed, it is ignored: {e}")
            }
        },
        None => {
            tracing::error!(key = %item.key, "owner: key under the prefix of jobs is malformed, it is ignored")
        }
    }
}
