use std::sync::Arc;

use lagoon_core::id::{Epoch, WorkerId};
use lagoon_core::shard::ShardPhase;
use lagoon_core::unit::Millis;
use lagoon_platform::Endpoint;
use lagoon_platform::worker::{ShardEpoch, WorkerClient};

use crate::cell::ShardCell;
use crate::convert::task_report;

/// Delay before workers that did not respond are fenced again.
const RETRY_DELAY: Millis = Millis::new(200);

/// Fences the workers of previous owners until all have responded or the ownership ends.
pub(super) async fn fence_workers(cell: Arc<ShardCell>, epoch: Epoch) {
    loop {
        let unfenced = cell.with_epoch(epoch, |shard| match shard.phase() {
            ShardPhase::Fencing => Some(shard.unfenced()),
            // Fencing continues if the handover fails.
            ShardPhase::HandingOver => Some(Vec::new()),
            _ => None,
        });
        let Some(Some(workers)) = unfenced else {
            return;
        };
        let calls = workers.into_iter().map(|(worker, address)| {
            tokio::spawn(fence_worker(cell.clone(), epoch, worker, address))
        });
        let calls: Vec<_> = calls.collect();
        for call in calls {
            let _ = call.await;
        }
        tokio::time::sleep(RETRY_DELAY.to_duration()).await;
    }
}

async fn fence_worker(cell: Arc<ShardCell>, epoch: Epoch, worker: WorkerId, address: String) {
    let cx = cell.cx();
    let listed = cx.hosts.worker(&worker, &cx.worker_transport);
    let recorded = || {
        let endpoint: Endpoint = address.parse().ok()?;
        Some(WorkerClient::new(endpoint, cx.worker_transport.clone()))
    };
    let Some(client) = listed.or_else(recorded) else {
        tracing::warn!(
            "shard: worker {worker} of {} can't be fenced, its address is not known",
            cell.id()
        );
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
                shard.on_fenced(&worker, response.incarnation, tasks, now);
            });
        }
        Err(e) => tracing::debug!("shard: fencing of {worker} failed, retrying: {e}"),
    }
}
