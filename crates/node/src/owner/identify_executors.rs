use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::HoldRequest;
use lagoon_jobs::run::HoldOutcome;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::context::Context;
use crate::owner::Shard;

/// Delay after which an executor is asked, and the ownership confirmed, for a new connection. A request that is sent within the error
/// with which the times of both are compared, up to 2 ms and the time until a result is handled, would not count as sent later.
const REQUEST_DELAY: Duration = Duration::from_millis(5);

/// Asks the executors to which new connections for starts lead for their incarnation, until the task is aborted.
pub(super) async fn run(cx: Context, shard: Arc<Shard>) {
    let mut calls = JoinSet::new();
    let mut asked: HashMap<SocketAddr, Instant> = HashMap::new();
    loop {
        tokio::select! {
            () = cx.start_gate.wait_for_connection() => {}
            Some(_) = calls.join_next() => continue,
        }
        tokio::time::sleep(REQUEST_DELAY).await;
        // The ownership has to be confirmed after the connections were established too.
        shard.confirmation_awaited.notify_one();
        let held_back = cx.start_gate.held_back();
        asked.retain(|address, _| held_back.iter().any(|c| c.address == *address));
        for connection in held_back {
            let last = asked.get(&connection.address);
            if last.is_none_or(|at| *at <= connection.established_at) {
                asked.insert(connection.address, Instant::now());
                calls.spawn(identify(cx.clone(), shard.clone(), connection.address));
            }
        }
    }
}

/// Asks the executor at an address for its incarnation. Its list is not used, because it may be older than one that arrives on another
/// connection.
async fn identify(cx: Context, shard: Arc<Shard>, address: SocketAddr) {
    let Some((slot, id)) = shard.with(|dispatcher| dispatcher.executor_at(address)) else {
        return;
    };
    let sent_at = cx.clock.now();
    let req = HoldRequest {
        address,
        epoch: shard.with(|dispatcher| dispatcher.epoch()),
        acknowledged: 0,
        lease_end_ms: None,
        wait: Millis::ZERO,
    };
    match cx.executors.hold(&id, &req).await {
        Ok(HoldOutcome::Listed(listing)) => {
            let now = cx.clock.now();
            shard.change(|dispatcher| {
                dispatcher.identified(slot, listing.incarnation, sent_at, now);
            });
            shard.admit_connections(&cx);
        }
        Ok(HoldOutcome::Fenced) => shard.change(|dispatcher| dispatcher.fenced()),
        // The task that drives the executor learns the same from its next hold.
        Ok(HoldOutcome::OtherExecutor) => {}
        Err(e) => {
            tracing::debug!(executor = %id, "owner: incarnation of an executor not known: {e}");
        }
    }
    shard.waker(slot).notify_one();
}
