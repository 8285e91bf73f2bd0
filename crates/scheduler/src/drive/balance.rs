use std::sync::Arc;

use lagoon_core::unit::Millis;

use crate::cell::ShardCell;
use crate::drive::{HandOverReason, hand_over};

/// Interval between checks for a preferred owner.
const CHECK_INTERVAL: Millis = Millis::new(500);
/// Delay after a failed handover, because callers wait during each attempt.
const FAILURE_BACKOFF: Millis = Millis::new(60_000);

/// Hands an owned shard over when another process is the preferred owner. The process must have been up, and the shard
/// owned here, for `hand_over_after`, so that a process that restarts repeatedly does not move shards each time.
pub(crate) async fn balance(cell: Arc<ShardCell>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
        let cx = cell.cx();
        let (now, min_time) = (cx.clock.now(), cx.settings.hand_over_after);
        if cx.members.is_leaving() || !cell.may_hand_over(min_time, now) {
            continue;
        }
        let Some(to) = cx.members.preferred_peer(cell.id(), min_time, now) else {
            continue;
        };
        if hand_over(&cell, &to, HandOverReason::Preferred)
            .await
            .is_err()
        {
            tokio::time::sleep(FAILURE_BACKOFF.to_duration()).await;
        }
    }
}
