use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::WatchOutcome;
use lagoon_core::unit::Millis;
use lagoon_platform::PlatformError;

use crate::cell::{CellView, Keys};
use crate::context::Context;

/// Longest wait of one watch, so that a dead connection is detected soon.
const WATCH_WAIT: Millis = Millis::new(2_000);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Keeps the view of the cell up to date until the process ends.
pub(crate) async fn follow(cx: Context) {
    loop {
        if let Err(e) = follow_once(&cx).await {
            tracing::warn!("cell: watch of members and owner failed, it is repeated: {e}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn follow_once(cx: &Context) -> Result<(), PlatformError> {
    let (items, mut at) = cx.store.list(Keys::CELL).await?;
    let mut view = CellView::from_items(&items);
    publish(cx, &view);
    loop {
        match cx.store.watch(Keys::CELL, at, WATCH_WAIT).await? {
            WatchOutcome::HistoryLost => {
                tracing::info!(
                    "cell: store no longer has the history of the watch, listing the cell again"
                );
                return Ok(());
            }
            WatchOutcome::Events { events, next } => {
                at = at.max(next);
                events.iter().for_each(|event| view.apply(event));
                publish(cx, &view);
            }
        }
    }
}

fn publish(cx: &Context, view: &CellView) {
    cx.cell.send_if_modified(|current| {
        let changed = **current != *view;
        if changed {
            tracing::info!(
                owner = view.owner.as_ref().map(|owner| owner.member.as_str()),
                epoch = view.owner.as_ref().map(|owner| owner.epoch.get()),
                members = view.members.len(),
                "cell: members or owner changed"
            );
            *current = Arc::new(view.clone());
        }
        changed
    });
}
