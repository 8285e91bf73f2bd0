use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::{Event, Revision, StoreItem, WatchOutcome};
use lagoon_adapter::{CONFIG_KEY, decode_config};
use lagoon_core::unit::Millis;
use lagoon_jobs::policy::CellPolicy;
use lagoon_platform::PlatformError;

use crate::context::Context;

/// Longest wait of one watch, so that a dead connection is detected soon.
const WATCH_WAIT: Millis = Millis::new(2_500);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Keeps the configuration up to date until the process ends.
pub(crate) async fn follow(cx: Context) {
    loop {
        if let Err(e) = follow_once(&cx).await {
            tracing::warn!("policy: watch of the configuration failed, it is repeated: {e}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the configuration from the store, applies it and returns the current one.
pub(super) async fn read_latest(cx: &Context) -> Result<Option<Arc<CellPolicy>>, PlatformError> {
    let sent_at = cx.clock.now();
    if let Some(item) = cx.store.get(CONFIG_KEY).await? {
        apply(cx, &item);
    }
    cx.policy_guard.confirm(sent_at);
    Ok(cx.current_policy())
}

async fn follow_once(cx: &Context) -> Result<(), PlatformError> {
    let sent_at = cx.clock.now();
    let (items, mut at) = cx.store.list(CONFIG_KEY).await?;
    items.iter().for_each(|item| apply(cx, item));
    cx.policy_guard.confirm(sent_at);
    loop {
        match cx.store.watch(CONFIG_KEY, at, WATCH_WAIT).await? {
            WatchOutcome::HistoryLost => {
                tracing::info!(
                    "policy: store no longer has the history of the watch, reading the configuration again"
                );
                return Ok(());
            }
            WatchOutcome::Events { events, next } => {
                at = at.max(next);
                for event in &events {
                    match event {
                        Event::Written(item) => apply(cx, item),
                        Event::Removed(key) => {
                            tracing::warn!(%key, "policy: configuration removed from the store, the last one stays in use")
                        }
                    }
                }
                debug_assert!(at > Revision::default());
            }
        }
    }
}

fn apply(cx: &Context, item: &StoreItem) {
    if item.key != CONFIG_KEY {
        return;
    }
    let policy = match decode_config(&item.value) {
        Ok(policy) => Arc::new(policy),
        Err(e) => {
            tracing::error!(revision = %item.revision, "policy: invalid configuration, the last one stays in use: {e}");
            return;
        }
    };
    cx.policy.send_if_modified(|current| {
        let known = current.as_ref().map(|policy| policy.version());
        let is_newer = known.is_none_or(|known| policy.version() > known);
        if is_newer {
            tracing::info!(
                version = policy.version(),
                ?known,
                queues = policy.queues().len(),
                "policy: configuration applied"
            );
            *current = Some(policy);
        }
        is_newer
    });
}
