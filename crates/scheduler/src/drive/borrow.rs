//! Capacity borrowed from other shards for a gang job. It is reserved in ascending order of the shards, so that two
//! borrowers do not wait for each other; then its use is recorded, and then the reservations are committed. The module
//! `lagoon_core::shard::lend` describes what happens if one side fails.

use std::sync::Arc;

use lagoon_core::id::{Epoch, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{BorrowPlan, ReservedPlacement, Shard};
use lagoon_platform::worker::ShardEpoch;

use crate::cell::ShardCell;
use crate::drive::lender_client::{LenderClient, RemoteReservation};

/// Attempts to start a gang job with capacity of other shards.
pub(super) async fn borrow(cell: Arc<ShardCell>, epoch: Epoch, work: WorkId) {
    let now = cell.cx().clock.now();
    let plan = cell.with_epoch(epoch, |shard| shard.begin_borrowing(&work, now));
    let Some(Some(plan)) = plan else {
        return;
    };
    let client = LenderClient {
        borrower: cell.id().clone(),
        epoch,
    };
    let reservations = reserve(&cell, &client, &work, &plan).await;
    match record(&cell, epoch, &work, &plan, &reservations).await {
        Some(tasks) => commit(&cell, &client, &work, &plan, &reservations, &tasks).await,
        None => {
            for reservation in &reservations {
                client.release(reservation).await;
            }
            let now = cell.cx().clock.now();
            cell.with_epoch(epoch, |shard| shard.end_borrowing(&work, now));
        }
    }
}

async fn reserve(
    cell: &ShardCell,
    client: &LenderClient,
    work: &WorkId,
    plan: &BorrowPlan,
) -> Vec<RemoteReservation> {
    let cx = cell.cx();
    let mut missing = plan.missing;
    let mut reservations = Vec::new();
    for (lender, address) in cx.members.lenders(cx.clock.now()) {
        if missing == 0 {
            break;
        }
        if lender == *cell.id() {
            continue;
        }
        match client.reserve(&lender, &address, work, plan, missing).await {
            Ok(reservation) => {
                missing = missing
                    .saturating_sub(u32::try_from(reservation.workers.len()).unwrap_or(missing));
                reservations.push(reservation);
            }
            Err(e) => tracing::debug!("shard: no reservation at {lender} for {work}: {e}"),
        }
    }
    reservations
}

/// Records the use of the workers. Returns the task ids, or `None` if not all tasks of the job can be started.
async fn record(
    cell: &Arc<ShardCell>,
    epoch: Epoch,
    work: &WorkId,
    plan: &BorrowPlan,
    reservations: &[RemoteReservation],
) -> Option<Vec<TaskId>> {
    let reserved: usize = reservations
        .iter()
        .map(|reservation| reservation.workers.len())
        .sum();
    if reserved != plan.missing as usize {
        return None;
    }
    let mut placements = Vec::with_capacity(reserved);
    for worker in reservations
        .iter()
        .flat_map(|reservation| &reservation.workers)
    {
        placements.push(fence_worker(cell, epoch, worker).await?);
    }
    let now = cell.cx().clock.now();
    cell.with_epoch(epoch, |shard| {
        shard.record_borrowing(work, &placements, now)
    })?
}

/// Fences a worker. The response has its incarnation, which the journal records.
async fn fence_worker(
    cell: &ShardCell,
    epoch: Epoch,
    worker: &WorkerId,
) -> Option<ReservedPlacement> {
    let cx = cell.cx();
    let spec = cx.hosts.spec(worker)?;
    let client = cx.hosts.worker(worker, &cx.worker_transport)?;
    let req = ShardEpoch {
        shard: cell.id().clone(),
        shard_epoch: epoch,
    };
    match client.fence(&req).await {
        Ok(response) => Some(ReservedPlacement {
            worker: worker.clone(),
            host: spec.host,
            address: spec.address,
            incarnation: response.incarnation,
        }),
        Err(e) => {
            tracing::debug!(
                "shard: fencing of borrowed worker {worker} failed, the job stays queued: {e}"
            );
            None
        }
    }
}

async fn commit(
    cell: &Arc<ShardCell>,
    client: &LenderClient,
    work: &WorkId,
    plan: &BorrowPlan,
    reservations: &[RemoteReservation],
    tasks: &[TaskId],
) {
    let cx = cell.cx();
    let epoch = client.epoch;
    let limit = cx.settings.record_timeout;
    let recorded = |shard: &Shard| shard.borrowing_recorded(work);
    let mut committed = cell.wait_until(epoch, limit, recorded).await;
    let own_tasks = tasks.len() - plan.missing as usize;
    let mut rest = &tasks[own_tasks..];
    for reservation in reservations {
        let (lent, others) = rest.split_at(reservation.workers.len());
        rest = others;
        if !committed {
            client.release(reservation).await;
        } else if let Err(e) = client.commit(reservation, lent, &plan.spec).await {
            tracing::info!(
                "shard: lender {} did not commit tasks of {work}, stopping the job: {e}",
                reservation.lender
            );
            committed = false;
        }
    }
    let now = cx.clock.now();
    cell.with_epoch(epoch, |shard| shard.finish_borrowing(work, committed, now));
}
