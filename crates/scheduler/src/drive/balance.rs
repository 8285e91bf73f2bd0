use std::sync::Arc;

use lagoon_core::unit::Millis;

use crate::cell::ShardCell;
use crate::drive::{HandOverReason, hand_over};

/// Wait between looks at who should own a shard.
const CHECK_INTERVAL: Millis = Millis::new(500);
/// Wait after a handover that failed, because each try keeps callers waiting.
const FAILURE_BACKOFF: Millis = Millis::new(60_000);

/// Hands an owned shard over when another process is the preferred owner. Both the process must have been up and the
/// shard have been here for a while, so that a process that restarts again and again does not move shards each time.
pub(crate) async fn balance(cell: Arc<ShardCell>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
        let cx = cell.cx();
        let (now, settled) = (cx.clock.now(), cx.settings.hand_over_after);
        if cx.members.is_leaving() || !cell.may_hand_over(settled, now) {
            continue;
        }
        let Some(to) = cx.members.preferred_peer(cell.id(), settled, now) else {
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
