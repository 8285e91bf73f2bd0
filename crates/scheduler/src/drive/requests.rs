//! Requests to executors.

use std::sync::Arc;

use lagoon_core::id::{Epoch, ExecutorId, WorkId};
use lagoon_core::shard::RequestResult;
use lagoon_core::unit::Millis;
use lagoon_core::work::WorkSpec;
use lagoon_platform::executor::RunRequest;
use lagoon_platform::{CallEffect, ErrorKind, PlatformError};

use crate::cell::ShardCell;

/// Longest wait for the status of an executor.
const STATUS_TIMEOUT: Millis = Millis::new(1_000);

pub(super) async fn run(
    cell: Arc<ShardCell>,
    epoch: Epoch,
    executor: ExecutorId,
    work: WorkId,
    spec: Arc<WorkSpec>,
    timeout: Millis,
) {
    let result = try_run(&cell, epoch, &executor, &work, &spec, timeout).await;
    let now = cell.cx().clock.now();
    cell.with_epoch(epoch, |shard| {
        shard.on_request(&executor, &work, result, now)
    });
}

async fn try_run(
    cell: &Arc<ShardCell>,
    epoch: Epoch,
    executor: &ExecutorId,
    work: &WorkId,
    spec: &WorkSpec,
    timeout: Millis,
) -> RequestResult {
    let cx = cell.cx();
    let Some(client) = cx.hosts.executor(executor, &cx.executor_transport) else {
        return RequestResult::NotSent;
    };
    let req = RunRequest {
        request: work.to_string(),
        payload: spec.payload.clone(),
    };
    let now = cx.clock.now();
    let usable = cell.with_epoch(epoch, |shard| shard.may_use_executor(executor, now));
    if usable != Some(true) {
        return RequestResult::NotSent;
    }
    cx.metrics.count("request.sent", 1);
    match tokio::time::timeout(timeout.to_duration(), client.run(&req)).await {
        Err(_) => RequestResult::TimedOut,
        Ok(Ok(response)) => RequestResult::Answered(response),
        Ok(Err(e)) => failed_request(work, &e),
    }
}

fn failed_request(work: &WorkId, error: &PlatformError) -> RequestResult {
    tracing::debug!("shard: call to the executor for request {work} failed: {error}");
    match (error.kind(), error.effect()) {
        (ErrorKind::Refused { status: 503, .. }, _) => RequestResult::Refused,
        (
            ErrorKind::Refused {
                status: 422 | 500,
                body,
            },
            _,
        ) => RequestResult::Failed(body.clone()),
        (_, CallEffect::None) => RequestResult::NotSent,
        (ErrorKind::Timeout { .. }, _) => RequestResult::TimedOut,
        _ => RequestResult::Lost,
    }
}

pub(super) async fn poll(cell: Arc<ShardCell>, epoch: Epoch, executor: ExecutorId) {
    let cx = cell.cx();
    let Some(client) = cx.hosts.executor(&executor, &cx.executor_transport) else {
        return;
    };
    let status = tokio::time::timeout(STATUS_TIMEOUT.to_duration(), client.status()).await;
    let now = cx.clock.now();
    if let Ok(Ok(status)) = status {
        let in_use = status.in_use;
        cell.with_epoch(epoch, |shard| {
            shard.on_executor_status(&executor, in_use, now)
        });
    }
}
