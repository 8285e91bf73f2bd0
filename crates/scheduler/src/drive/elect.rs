use std::sync::Arc;

use lagoon_core::shard::ShardPhase;
use lagoon_core::unit::Millis;

use crate::cell::ShardCell;
use crate::drive::{claim, ownership};

/// Wait between looks at who should own a shard.
const INTERVAL: Millis = Millis::new(100);
/// Wait after a claim that failed, so that a store that is down is not asked more often.
const RETRY: Millis = Millis::new(500);

/// Claims a shard whenever this process should own it, and drives it while it is owned.
pub(crate) async fn elect(cell: Arc<ShardCell>) {
    loop {
        tokio::time::sleep(INTERVAL.to_duration()).await;
        let cx = cell.cx();
        if cell.phase() != ShardPhase::Standby
            || !cx.members.should_claim(cell.id(), cx.clock.now())
        {
            continue;
        }
        cell.set_claiming(true);
        let claimed = claim::claim(&cell).await;
        cell.set_claiming(false);
        match claimed {
            Ok(Some(shard)) => ownership::drive(&cell, shard).await,
            Ok(None) => tokio::time::sleep(RETRY.to_duration()).await,
            Err(e) => {
                tracing::warn!("shard: {} can't be claimed: {e}", cell.id());
                tokio::time::sleep(RETRY.to_duration()).await;
            }
        }
    }
}
