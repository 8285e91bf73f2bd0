use std::sync::Arc;

use lagoon_core::shard::{Shard, ShardPhase};
use tokio::task::JoinSet;

use crate::cell::ShardCell;
use crate::drive::{commits, fencing, heartbeats, ticks};

/// Drives an owned shard until the ownership ends.
pub(super) async fn drive(cell: &Arc<ShardCell>, shard: Shard) {
    let epoch = shard.epoch();
    let mut phase = cell.watch_phase();
    cell.put(shard);
    tracing::info!("shard: {} is owned at epoch {epoch}", cell.id());
    let mut tasks = JoinSet::new();
    tasks.spawn(ticks::ticks(cell.clone(), epoch));
    tasks.spawn(commits::commits(cell.clone(), epoch));
    tasks.spawn(heartbeats::heartbeats(cell.clone(), epoch));
    tasks.spawn(fencing::fencing(cell.clone(), epoch));
    let _ = phase.wait_for(|phase| *phase == ShardPhase::Standby).await;
    tasks.shutdown().await;
    tracing::info!("shard: {} is no longer owned at epoch {epoch}", cell.id());
}
