use std::sync::Arc;

use lagoon_core::shard::{Shard, ShardPhase};
use tokio::task::JoinSet;

use crate::cell::{PlacedBy, ShardCell};
use crate::drive::{borrowed_workers, commits, fencing, heartbeats, ticks};

/// Installs a claimed shard. The returned future drives it until the ownership ends.
pub(super) fn begin(
    cell: &Arc<ShardCell>,
    shard: Shard,
    placed_by: PlacedBy,
) -> impl Future<Output = ()> + Send + 'static {
    let epoch = shard.epoch();
    let cell = cell.clone();
    cell.cx().adoption.remove(cell.id());
    cell.install(shard, placed_by);
    tracing::info!("shard: ownership of {} began at epoch {epoch}", cell.id());
    async move {
        let mut phase = cell.watch_phase();
        let mut tasks = JoinSet::new();
        tasks.spawn(ticks::run_ticks(cell.clone(), epoch));
        tasks.spawn(commits::run_commits(cell.clone(), epoch));
        tasks.spawn(heartbeats::run_heartbeats(cell.clone(), epoch));
        tasks.spawn(borrowed_workers::poll_borrowed_workers(cell.clone(), epoch));
        tasks.spawn(fencing::fence_workers(cell.clone(), epoch));
        let ended =
            |phase: &ShardPhase| matches!(phase, ShardPhase::Standby | ShardPhase::Claiming);
        let _ = phase.wait_for(ended).await;
        tasks.shutdown().await;
        tracing::info!("shard: ownership of {} at epoch {epoch} ended", cell.id());
    }
}
