use std::sync::Arc;
use std::time::Duration;

use lagoon_jobs::dispatch::{HoldAction, HoldRequest};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::ExecutorId;
use lagoon_jobs::run::HoldOutcome;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::context::Context;
use crate::owner::Shard;

/// Time without a write of progress after which an executor is held anyway, so that its leases survive an outage of the
/// store.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between two checks whether an idle executor has to be held.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Delay after a hold that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Drives each of the executors in its own task.
pub(super) async fn drive_all(
    cx: Context,
    shard: Arc<Shard>,
    executors: Vec<(ExecutorSlot, ExecutorId)>,
) {
    let mut drivers = JoinSet::new();
    for (slot, id) in executors {
        drivers.spawn(drive(cx.clone(), shard.clone(), slot, id));
    }
    while drivers.join_next().await.is_some() {}
}

/// Holds one executor as long as it has runs: renews leases, processes ended runs and acknowledges them.
pub(super) async fn drive(cx: Context, shard: Arc<Shard>, slot: ExecutorSlot, id: ExecutorId) {
    let waker = shard.waker(slot);
    let mut recorded = shard.write_count.subscribe();
    let mut due = None;
    loop {
        recorded.mark_unchanged();
        let now = cx.clock.now();
        let overdue = due.is_some_and(|due| due <= Instant::now());
        match shard.with(|dispatcher| dispatcher.next_hold(slot, overdue, now)) {
            HoldAction::Idle => {
                due = None;
                // After the time-out, the clock of an idle executor is read again.
                let _ = tokio::time::timeout(IDLE_CHECK_INTERVAL, waker.notified()).await;
            }
            HoldAction::AwaitRecord => {
                let until = match due.filter(|_| !overdue) {
                    Some(due) => due,
                    None => Instant::now() + RECORD_TIMEOUT,
                };
                due = Some(until);
                tokio::select! {
                    // The shard keeps the sender, so this resolves only on a change.
                    _ = recorded.changed() => {}
                    () = waker.notified() => {}
                    () = tokio::time::sleep_until(until) => {}
                }
            }
            HoldAction::Hold(req) => {
                hold(&cx, &shard, slot, &id, &req).await;
                due = None;
            }
        }
    }
}

async fn hold(cx: &Context, shard: &Shard, slot: ExecutorSlot, id: &ExecutorId, req: &HoldRequest) {
    let sent_at = cx.clock.now();
    let response = cx.executors.hold(id, req).await;
    let outcome = if response.is_ok() {
        "answered"
    } else {
        "failed"
    };
    cx.metrics
        .observe("executor.hold", outcome, cx.clock.now().since(sent_at));
    match response {
        Ok(HoldOutcome::Listed(listing)) => {
            shard.change(|dispatcher| dispatcher.listed(slot, &listing, sent_at, cx.clock.now()));
            shard.admit_connections(cx);
        }
        Ok(HoldOutcome::OtherExecutor) => {
            shard.change(|dispatcher| dispatcher.replaced(slot, req.address, cx.clock.now()));
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Ok(HoldOutcome::Fenced) => {
            tracing::warn!(executor = %id, epoch = %req.epoch, "owner: executor refused the hold because it has seen a later owner");
            shard.change(|dispatcher| dispatcher.fenced());
        }
        Err(e) => {
            tracing::warn!(executor = %id, "owner: hold failed, it is repeated: {e}");
            shard.change(|dispatcher| dispatcher.hold_failed(slot, cx.clock.now()));
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
