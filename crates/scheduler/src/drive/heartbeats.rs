//! Heartbeats to workers. One task per worker renews the lease and applies the inventory.

use std::collections::HashMap;
use std::sync::Arc;

use lagoon_core::id::{Epoch, WorkerId};
use lagoon_core::membership::home_shard;
use lagoon_core::shard::Shard;
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::worker::{LeaseOutcome, LeaseRefusalReason, LeaseRequest, ShardEpoch};
use tokio::task::AbortHandle;

use crate::cell::ShardCell;
use crate::convert::heartbeat_report;
use crate::drive::leases;

/// Number of heartbeats within the time to live of a lease.
const HEARTBEATS_PER_TTL: u64 = 4;
/// Interval between reads of the shard's list of workers.
const WORKER_LIST_INTERVAL: Millis = Millis::new(200);

/// Runs one heartbeat task for each worker of a shard until the ownership ends.
pub(super) async fn run_heartbeats(cell: Arc<ShardCell>, epoch: Epoch) {
    let mut tasks: HashMap<WorkerId, AbortHandle> = HashMap::new();
    let mut timer = tokio::time::interval(WORKER_LIST_INTERVAL.to_duration());
    // Once the leases are released no task is started, and each running one ends after the response it waits for.
    let wanted = |shard: &mut Shard| (shard.leased_workers(), shard.leases_released());
    while let Some((workers, released)) = cell.with_epoch(epoch, wanted) {
        if released {
            timer.tick().await;
            continue;
        }
        tasks.retain(|worker, task| {
            if task.is_finished() {
                return false;
            }
            let wanted = workers.contains(worker);
            if !wanted {
                task.abort();
            }
            wanted
        });
        for worker in workers {
            let spawn =
                || tokio::spawn(heartbeat(cell.clone(), epoch, worker.clone())).abort_handle();
            tasks.entry(worker.clone()).or_insert_with(spawn);
        }
        timer.tick().await;
    }
}

async fn heartbeat(cell: Arc<ShardCell>, epoch: Epoch, worker: WorkerId) {
    let ttl = cell.cx().settings.lease.ttl;
    let interval = Millis::new(ttl.get() / HEARTBEATS_PER_TTL);
    let mut timer = tokio::time::interval(interval.to_duration());
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        if !send_heartbeat(&cell, epoch, &worker).await {
            return;
        }
    }
}

/// Sends one heartbeat. Returns false once the ownership has ended or the shard no longer needs the lease.
async fn send_heartbeat(cell: &Arc<ShardCell>, epoch: Epoch, worker: &WorkerId) -> bool {
    let cx = cell.cx();
    let Some(client) = cx.hosts.worker(worker, &cx.worker_transport) else {
        return cell.epoch() == Some(epoch);
    };
    let call = cell.begin_lease_call();
    let sent_at = cx.clock.now();
    let sending = cell.with_epoch(epoch, |shard| shard.on_heartbeat_sending(worker, sent_at));
    let Some(Some((known_epoch, known_sequence))) = sending else {
        return false;
    };
    let req = LeaseRequest {
        holder: cx.settings.process.clone(),
        shard: cell.id().clone(),
        shard_epoch: epoch,
        known_epoch,
        ttl_ms: cx.settings.lease.ttl,
        task_ttl_ms: cx.settings.lease.task_ttl,
        known_sequence,
        renew_tasks_of: borrowers_to_renew(cell, epoch, worker),
    };
    cx.metrics.count("lease.heartbeats", 1);
    let response = client.lease(&req).await;
    let now = cx.clock.now();
    let granted = match &response {
        Ok(LeaseOutcome::Granted(response)) => Some(response.epoch),
        _ => None,
    };
    let applied = cell.with_epoch(epoch, |shard| match response {
        Ok(LeaseOutcome::Granted(response)) => {
            let report = heartbeat_report(*response, sent_at, &cx.settings.lease);
            shard.on_heartbeat(worker, report, now);
        }
        Ok(LeaseOutcome::Refused(refusal)) => {
            if refusal.reason == LeaseRefusalReason::LowerShardEpoch {
                let text = format!("worker {worker} has seen a later owner");
                shard.on_superseded(Refusal::new(ResultCode::NotOwner, text));
            } else {
                shard.on_lease_refused(worker, now);
            }
        }
        Err(e) => {
            tracing::debug!("lease: heartbeat to {worker} failed: {e}");
            shard.on_heartbeat_lost(worker);
        }
    });
    if let (None, Some(granted)) = (applied, granted) {
        // The ownership has ended in the meantime. The release saves the next owner a wait for the expiry.
        leases::release(cell, worker.clone(), granted).await;
    }
    drop(call);
    applied.is_some()
}

/// Returns the other shards whose tasks on a worker are renewed: those with a live owner, except the worker's home
/// shard. The owner of the home shard relies on its tasks to stop when it can't renew them itself, even if it is only
/// cut off.
fn borrowers_to_renew(cell: &Arc<ShardCell>, epoch: Epoch, worker: &WorkerId) -> Vec<ShardEpoch> {
    let cx = cell.cx();
    let home = home_shard(worker, cx.settings.shards);
    let borrowers_on = cell.with_epoch(epoch, |shard| shard.borrowers_on(worker));
    let borrowers_on = borrowers_on.into_iter().flatten();
    let others = borrowers_on.filter(|shard| Some(shard.number()) != home);
    let renewed = others.filter_map(|shard| {
        let shard_epoch = cx.members.live_epoch(&shard, cx.clock.now())?;
        Some(ShardEpoch { shard, shard_epoch })
    });
    renewed.collect()
}
