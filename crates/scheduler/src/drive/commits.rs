//! The commit loop of a shard: one call to the store at a time, at the rate that the write budget allows.

use std::sync::Arc;

use lagoon_core::id::Epoch;
use lagoon_core::journal::{CommitPacer, Head, Segment, StoreRequest, StoreVersion};
use lagoon_core::shard::StoreResponse;
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_platform::store::{DeleteOutcome, Precondition, PutOutcome};
use lagoon_platform::{CallEffect, PlatformError};
use serde::Serialize;

use crate::cell::ShardCell;
use crate::context::Context;

/// Write latency that indicates an overloaded store.
const SLOW_WRITE: Millis = Millis::new(250);
/// Longest wait before the loop checks for requests again, because deferred requests send no wake-up.
const IDLE_WAIT: Millis = Millis::new(100);

pub(super) async fn run_commits(cell: Arc<ShardCell>, epoch: Epoch) {
    let cx = cell.cx().clone();
    let mut pacer = CommitPacer::new(cx.settings.store_writes, SLOW_WRITE);
    pacer.set_shards(usize::from(cx.settings.shards));
    let mut last = Timestamp::default();
    loop {
        wait_for_pacer(&cx, &pacer, last).await;
        let now = cx.clock.now();
        let Some(req) = cell.with_epoch(epoch, |shard| shard.next_request(now)) else {
            return;
        };
        let Some(req) = req else {
            let _ = tokio::time::timeout(IDLE_WAIT.to_duration(), cell.commit.notified()).await;
            continue;
        };
        last = cx.clock.now();
        let response = send_request(&cx, &req).await;
        let now = cx.clock.now();
        update_pacer(&mut pacer, &response, now.since(last));
        cx.metrics.count("journal.calls", 1);
        cell.with_epoch(epoch, |shard| shard.on_store(response, now));
    }
}

async fn wait_for_pacer(cx: &Context, pacer: &CommitPacer, last: Timestamp) {
    let wait = pacer.next_at(last).since(cx.clock.now());
    if wait > Millis::ZERO {
        tokio::time::sleep(wait.to_duration()).await;
    }
}

fn update_pacer(pacer: &mut CommitPacer, response: &StoreResponse, latency: Millis) {
    match response {
        StoreResponse::Refused => pacer.on_refused(),
        _ => pacer.on_written(latency),
    }
}

async fn send_request(cx: &Context, req: &StoreRequest) -> StoreResponse {
    match req {
        StoreRequest::PutSegment { key, value } | StoreRequest::PutSnapshot { key, value } => {
            put(cx, key, Segment::clone(value), Precondition::Any).await
        }
        StoreRequest::SwapHead {
            key,
            value,
            expected_version,
        } => {
            let expect = match expected_version.get() {
                0 => Precondition::Absent,
                version => Precondition::Version(version),
            };
            put(cx, key, Head::clone(value), expect).await
        }
        StoreRequest::ReadHead { key } => read_head(cx, key).await,
        StoreRequest::DeleteKeys { keys } => delete(cx, keys).await,
    }
}

async fn put<T: Serialize>(
    cx: &Context,
    key: &str,
    value: T,
    expect: Precondition,
) -> StoreResponse {
    let Ok(text) = serde_json::to_string(&value) else {
        return StoreResponse::Refused;
    };
    match cx.store.put(key, &text, expect, None).await {
        Ok(PutOutcome::Written(version)) => StoreResponse::Written(StoreVersion::new(version)),
        Ok(PutOutcome::Conflict { current }) => {
            StoreResponse::Conflict(StoreVersion::new(current.unwrap_or(0)))
        }
        Err(e) => failed(key, &e),
    }
}

async fn read_head(cx: &Context, key: &str) -> StoreResponse {
    match cx.store.get(key).await {
        Ok(None) => StoreResponse::Head(None),
        Ok(Some(entry)) => match serde_json::from_str::<Head>(&entry.value) {
            Ok(head) => {
                let version = StoreVersion::new(entry.version);
                StoreResponse::Head(Some(Box::new((head, version))))
            }
            Err(e) => {
                tracing::error!("journal: {key} can't be parsed: {e}");
                StoreResponse::Head(None)
            }
        },
        Err(e) => failed(key, &e),
    }
}

async fn delete(cx: &Context, keys: &[String]) -> StoreResponse {
    for key in keys {
        match cx.store.delete(key, Precondition::Any).await {
            Ok(DeleteOutcome::Deleted(_) | DeleteOutcome::Absent) => {}
            Ok(other) => {
                tracing::warn!("journal: {key} was not deleted and stays in the store: {other:?}")
            }
            Err(e) => return failed(key, &e),
        }
    }
    StoreResponse::Written(StoreVersion::new(0))
}

fn failed(key: &str, error: &PlatformError) -> StoreResponse {
    tracing::debug!("journal: call to the store for {key} failed: {error}");
    match error.effect() {
        CallEffect::None => StoreResponse::Refused,
        CallEffect::Unknown => StoreResponse::Unknown,
    }
}
