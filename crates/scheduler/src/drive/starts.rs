//! Calls to workers that start, stop and acknowledge tasks.

use std::sync::Arc;

use lagoon_core::id::{Epoch, TaskId, WorkerId};
use lagoon_core::shard::{Borrower, StartResult};
use lagoon_core::work::WorkSpec;
use lagoon_platform::worker::{
    AcknowledgeRequest, ShardEpoch, StartOutcome, StartRefusalReason, StartRequest, TaskState,
};
use lagoon_platform::{CallEffect, PlatformError};

use crate::cell::ShardCell;
use crate::convert::task_phase;

pub(super) async fn start(
    cell: Arc<ShardCell>,
    epoch: Epoch,
    worker: WorkerId,
    task: TaskId,
    spec: Arc<WorkSpec>,
) {
    let own = Borrower {
        shard: cell.id().clone(),
        epoch,
    };
    let result = try_start(&cell, epoch, &own, &worker, &task, &spec).await;
    let now = cell.cx().clock.now();
    cell.with_epoch(epoch, |shard| shard.on_start(&worker, &task, result, now));
}

/// Starts a task of another shard under this shard's lease.
pub(super) async fn start_for(
    cell: Arc<ShardCell>,
    epoch: Epoch,
    borrower: Borrower,
    worker: WorkerId,
    task: TaskId,
    spec: Arc<WorkSpec>,
) {
    let result = try_start(&cell, epoch, &borrower, &worker, &task, &spec).await;
    let now = cell.cx().clock.now();
    cell.with_epoch(epoch, |shard| {
        shard.on_lent_start(&worker, &task, result, now);
    });
}

async fn try_start(
    cell: &Arc<ShardCell>,
    epoch: Epoch,
    on_behalf_of: &Borrower,
    worker: &WorkerId,
    task: &TaskId,
    spec: &WorkSpec,
) -> StartResult {
    let cx = cell.cx();
    let Some(client) = cx.hosts.worker(worker, &cx.worker_transport) else {
        return StartResult::NotSent;
    };
    // The lease is checked last, to keep the time between the check and the call short.
    let lease = cell.with_epoch(epoch, |shard| {
        let usable = shard.may_use_worker(worker, cx.clock.now());
        shard.lease_epoch(worker).filter(|_| usable)
    });
    let Some(Some(lease)) = lease else {
        return StartResult::NotSent;
    };
    let req = StartRequest {
        epoch: lease,
        task: task.clone(),
        shard: on_behalf_of.shard.clone(),
        shard_epoch: on_behalf_of.epoch,
        resources: spec.resources,
        run_ms: spec.run_time,
        payload: spec.payload.clone(),
    };
    cx.metrics.count("task.starts", 1);
    match client.start(&req).await {
        Ok(StartOutcome::Started) => StartResult::Known(task_phase(TaskState::Running)),
        Ok(StartOutcome::AlreadyKnown(state)) => StartResult::Known(task_phase(state)),
        Ok(StartOutcome::Refused(refusal)) => match refusal.reason {
            StartRefusalReason::WrongEpoch | StartRefusalReason::NoLease => StartResult::LeaseLost,
            StartRefusalReason::LowerShardEpoch => StartResult::ShardSuperseded,
            StartRefusalReason::DoesNotFit => StartResult::DoesNotFit,
            StartRefusalReason::StartFailed => StartResult::StartFailed,
        },
        Err(e) => failed_start(task, &e),
    }
}

fn failed_start(task: &TaskId, error: &PlatformError) -> StartResult {
    tracing::warn!("shard: start of task {task} failed: {error}");
    match error.effect() {
        CallEffect::None => StartResult::NotSent,
        CallEffect::Unknown => StartResult::Unknown,
    }
}

pub(super) async fn stop(cell: Arc<ShardCell>, epoch: Epoch, worker: WorkerId, task: TaskId) {
    let cx = cell.cx();
    let Some(client) = cx.hosts.worker(&worker, &cx.worker_transport) else {
        return;
    };
    let req = ShardEpoch {
        shard: cell.id().clone(),
        shard_epoch: epoch,
    };
    let result = match client.stop(&task, &req).await {
        Ok(response) => StartResult::Known(task_phase(response.state)),
        Err(e) => {
            // Repeated once a heartbeat shows that the worker responds.
            tracing::warn!(
                "shard: stop of task {task} failed, repeating it after the next heartbeat of {worker}: {e}"
            );
            StartResult::Unknown
        }
    };
    let now = cx.clock.now();
    cell.with_epoch(epoch, |shard| shard.on_stop(&worker, &task, result, now));
}

pub(super) async fn acknowledge(cell: Arc<ShardCell>, worker: WorkerId, tasks: Vec<TaskId>) {
    let cx = cell.cx();
    let Some(client) = cx.hosts.worker(&worker, &cx.worker_transport) else {
        return;
    };
    let Some(shard_epoch) = cell.epoch() else {
        return;
    };
    let req = AcknowledgeRequest {
        shard: cell.id().clone(),
        shard_epoch,
        tasks,
    };
    if let Err(e) = client.acknowledge(&req).await {
        // The worker lists the tasks again, and then they are acknowledged again.
        tracing::debug!(
            "shard: acknowledgement to {worker} failed, it is repeated when the tasks are listed again: {e}"
        );
    }
}
