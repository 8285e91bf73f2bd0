use std::sync::Arc;

use lagoon_core::shard::ShardPhase;
use lagoon_core::unit::Millis;

use crate::cell::{PlacedBy, ShardCell};
use crate::drive::{claim, ownership};

/// Wait between looks at who should own a shard.
const CHECK_INTERVAL: Millis = Millis::new(100);
/// Wait after a claim that failed, so that a store that is down is not asked more often.
const RETRY_DELAY: Millis = Millis::new(500);

/// Claims a shard whenever this process should own it, and drives it while it is owned.
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
            Err(e) => tracing::warn!("shard: {} can't be claimed: {e}", cell.id()),
        }
        cell.abort_claim();
        tokio::time::sleep(RETRY_DELAY.to_duration()).await;
    }
}
