use std::sync::Arc;

use lagoon_core::shard::ShardPhase;
use lagoon_core::unit::Millis;

use crate::cell::{PlacedBy, ShardCell};
use crate::drive::{claim, ownership};

/// Interval between checks whether to claim the shard.
const CHECK_INTERVAL: Millis = Millis::new(100);
/// Delay after a failed claim, which limits the calls to an unavailable store.
const RETRY_DELAY: Millis = Millis::new(500);

/// Claims a shard whenever this process should own it, and drives it until the ownership ends.
pub(crate) async fn elect(cell: Arc<ShardCell>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
        let cx = cell.cx();
        if cell.phase() != ShardPhase::Standby
            || !cx.members.should_claim(cell.id(), cx.clock.now())
            || !cell.try_begin_claim()
        {
            continue;
        }
        match claim::claim(&cell, None).await {
            Ok(Some(shard)) => {
                let ownership = ownership::begin(&cell, shard, PlacedBy::Election);
                ownership.await;
                continue;
            }
            Ok(None) => {}
            Err(e) => tracing::warn!("shard: claim of {} failed, retrying: {e}", cell.id()),
        }
        cell.abort_claim();
        tokio::time::sleep(RETRY_DELAY.to_duration()).await;
    }
}
