use std::time::Duration;

use lagoon_adapter::store::{LeaseId, Transaction, TxnOutcome};
use lagoon_core::unit::Millis;
use lagoon_platform::PlatformError;
use lagoon_process::shutdown::Signal;
use tokio::sync::watch;

use crate::cell::{Keys, MemberEntry};
use crate::context::Context;

/// Time without a renewal after which the lease of a member expires. Short, because nothing is placed until a new owner
/// takes over.
pub(crate) const LEASE_TTL: Millis = Millis::new(1_100);
/// Time between two renewals; two may be lost before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// Time-out for a renewal, so that the next one is still in time. A slow store takes 0.4 s.
const RENEW_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Lease of this member; `None` while it has none.
pub(crate) type LeaseHandle = watch::Receiver<Option<LeaseId>>;

/// Keeps this member registered until the signal to stop, then ends its lease.
pub(crate) async fn register(cx: Context, lease: watch::Sender<Option<LeaseId>>, mut stop: Signal) {
    loop {
        tokio::select! {
            ended = register_once(&cx, &lease) => {
                lease.send_replace(None);
                cx.set_store_reachable(ended.is_ok());
                match ended {
                    Ok(()) => tracing::warn!("cell: lease of this member expired, registering again"),
                    Err(e) => tracing::warn!("cell: registration of this member failed, it is retried: {e}"),
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            () = stop.wait() => break,
        }
    }
    let lease_id = *lease.borrow();
    if let Some(id) = lease_id {
        match cx.store.end_lease(id).await {
            Ok(()) => tracing::info!("cell: lease ended, this member has left the cell"),
            Err(e) => tracing::warn!("cell: lease not ended, it will expire by itself: {e}"),
        }
    }
}

/// Registers under a new lease and renews it until it expires.
async fn register_once(
    cx: &Context,
    handle: &watch::Sender<Option<LeaseId>>,
) -> Result<(), PlatformError> {
    let ttl = LEASE_TTL.max(cx.current_limits().min_store_lease);
    let lease = cx.store.lease(ttl).await?.id;
    let entry = MemberEntry {
        member: cx.member().clone(),
        address: cx.settings.listen.peers.get(),
        strength: cx.settings.strength,
        store_distance: measure_distance(cx, lease).await?,
        leaving: false,
    };
    let value = serde_json::to_vec(&entry).expect("entries have string keys");
    let write = Transaction::new().put_leased(Keys::member(cx.member()), value, lease);
    match cx.store.commit(write).await? {
        TxnOutcome::Committed(_) => {}
        TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded => return Ok(()),
    }
    handle.send_replace(Some(lease));
    tracing::info!(%lease, "cell: member registered");
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let Ok(renewed) = tokio::time::timeout(RENEW_TIMEOUT, cx.store.renew(lease)).await else {
            cx.metrics.count("lease.renewal_failed", 1);
            tracing::warn!("cell: lease renewal timed out, it is repeated");
            cx.set_store_reachable(false);
            continue;
        };
        cx.set_store_reachable(renewed.is_ok());
        match renewed {
            Ok(true) => cx.metrics.count("lease.renewed", 1),
            Ok(false) => return Ok(()),
            // The lease may survive a short outage; only the store can tell.
            Err(e) => {
                cx.metrics.count("lease.renewal_failed", 1);
                tracing::warn!("cell: lease renewal failed, it is repeated: {e}");
            }
        }
    }
}

/// Measures the latency of the store in steps of 10 ms, so that small differences do not matter.
async fn measure_distance(cx: &Context, lease: LeaseId) -> Result<u64, PlatformError> {
    const STEP_MS: u64 = 10;
    let started_at = cx.clock.now();
    cx.store.renew(lease).await?;
    Ok(cx.clock.now().since(started_at).get() / STEP_MS)
}
