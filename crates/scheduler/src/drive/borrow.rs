//! Members of a gang job at other shards: reserved in ascending order of the shards, so that two borrowers do not wait for
//! each other, then recorded, then committed. What holds when a side dies is said at the head of
//! `lagoon_core::shard::lend`.

use std::sync::Arc;

use lagoon_core::id::{Epoch, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{BorrowPlan, ReservedPlacement, Shard};
use lagoon_platform::worker::ShardEpoch;

use crate::cell::ShardCell;
use crate::drive::lender_client::{LenderClient, RemoteReservation};

/// Tries to start a gang job with the help of other shards.
pub(super) async fn borrow(cell: Arc<ShardCell>, epoch: Epoch, work: WorkId) {
    let now = cell.cx().clock.now();
    let plan = cell.with_epoch(epoch, |shard| shard.begin_borrowing(&work, now));
    let Some(Some(plan)) = plan else {
        return;
    };
    let lenders = LenderClient {
        borrower: cell.id().clone(),
        epoch,
    };
    let lent = reserve(&cell, &lenders, &work, &plan).await;
    match record(&cell, epoch, &work, &plan, &lent).await {
        Some(tasks) => commit(&cell, &lenders, &work, &plan, &lent, &tasks).await,
        None => {
            for lent in &lent {
                lenders.release(lent).await;
            }
            let now = cell.cx().clock.now();
            cell.with_epoch(epoch, |shard| shard.end_borrowing(&work, now));
        }
    }
}

async fn reserve(
    cell: &ShardCell,
    lenders: &LenderClient,
    work: &WorkId,
    plan: &BorrowPlan,
) -> Vec<RemoteReservation> {
    let cx = cell.cx();
    let mut missing = plan.missing;
    let mut all = Vec::new();
    for (lender, address) in cx.members.lenders(cx.clock.now()) {
        if missing == 0 {
            break;
        }
        if lender == *cell.id() {
            continue;
        }
        match lenders
            .reserve(&lender, &address, work, plan, missing)
            .await
        {
            Ok(lent) => {
                missing =
                    missing.saturating_sub(u32::try_from(lent.workers.len()).unwrap_or(missing));
                all.push(lent);
            }
            Err(e) => tracing::debug!("shard: {lender} lends nothing to {work}: {e}"),
        }
    }
    all
}

/// Records the use of the workers; none if the job can't be started as a whole.
async fn record(
    cell: &Arc<ShardCell>,
    epoch: Epoch,
    work: &WorkId,
    plan: &BorrowPlan,
    lent: &[RemoteReservation],
) -> Option<Vec<TaskId>> {
    let reserved: usize = lent.iter().map(|lent| lent.workers.len()).sum();
    if reserved != plan.missing as usize {
        return None;
    }
    let mut members = Vec::with_capacity(reserved);
    for worker in lent.iter().flat_map(|lent| &lent.workers) {
        members.push(member(cell, epoch, worker).await?);
    }
    let now = cell.cx().clock.now();
    cell.with_epoch(epoch, |shard| shard.record_borrowing(work, &members, now))?
}

/// Fences a worker, which tells the run of it that the journal has to name.
async fn member(cell: &ShardCell, epoch: Epoch, worker: &WorkerId) -> Option<ReservedPlacement> {
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
            tracing::debug!("shard: borrowed worker {worker}: {e}");
            None
        }
    }
}

async fn commit(
    cell: &Arc<ShardCell>,
    lenders: &LenderClient,
    work: &WorkId,
    plan: &BorrowPlan,
    lent: &[RemoteReservation],
    tasks: &[TaskId],
) {
    let cx = cell.cx();
    let epoch = lenders.epoch;
    let limit = cx.settings.record_timeout;
    let recorded = |shard: &Shard| shard.borrowing_recorded(work);
    let mut committed = cell.wait_until(epoch, limit, recorded).await;
    let own = tasks.len() - plan.missing as usize;
    let mut rest = &tasks[own..];
    for lent in lent {
        let (mine, others) = rest.split_at(lent.workers.len());
        rest = others;
        if !committed {
            lenders.release(lent).await;
        } else if let Err(e) = lenders.commit(lent, mine, &plan.spec).await {
            tracing::info!(
                "shard: {} did not commit members of {work}: {e}",
                lent.lender
            );
            committed = false;
        }
    }
    let now = cx.clock.now();
    cell.with_epoch(epoch, |shard| shard.finish_borrowing(work, committed, now));
}
