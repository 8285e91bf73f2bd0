use std::sync::Arc;

use lagoon_core::id::{Epoch, WorkerId};
use lagoon_core::unit::Millis;
use lagoon_platform::worker::ShardEpoch;

use crate::cell::ShardCell;
use crate::convert::task_report;

/// Interval between two polls of a worker whose lease another shard holds.
const POLL_INTERVAL: Millis = Millis::new(250);

/// Polls the shard's tasks on borrowed workers until the ownership ends. Fencing with the shard's own epoch lists the
/// tasks and needs no lease.
pub(super) async fn poll_borrowed_workers(cell: Arc<ShardCell>, epoch: Epoch) {
    let borrowed_workers = |shard: &mut lagoon_core::shard::Shard| {
        shard.release_borrowed_workers();
        shard.borrowed_workers()
    };
    while let Some(workers) = cell.with_epoch(epoch, borrowed_workers) {
        let polls = workers
            .into_iter()
            .map(|worker| poll_worker(&cell, epoch, worker));
        futures_util::future::join_all(polls).await;
        tokio::time::sleep(POLL_INTERVAL.to_duration()).await;
    }
}

async fn poll_worker(cell: &Arc<ShardCell>, epoch: Epoch, worker: WorkerId) {
    let cx = cell.cx();
    let Some(client) = cx.hosts.worker(&worker, &cx.worker_transport) else {
        return;
    };
    let req = ShardEpoch {
        shard: cell.id().clone(),
        shard_epoch: epoch,
    };
    match client.fence(&req).await {
        Ok(response) => {
            let tasks = response.tasks.into_iter().map(task_report).collect();
            let now = cx.clock.now();
            cell.with_epoch(epoch, |shard| {
                shard.on_borrowed_inventory(&worker, response.incarnation, tasks, now);
            });
        }
        Err(e) => tracing::debug!("shard: poll of borrowed worker {worker} failed, retrying: {e}"),
    }
}
