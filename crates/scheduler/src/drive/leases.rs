use lagoon_core::id::{Epoch, WorkerId};
use lagoon_platform::worker::ReleaseRequest;

use crate::cell::ShardCell;

/// Releases the lease on a worker. If the call fails, the next holder waits until the lease expires.
pub(super) async fn release(cell: &ShardCell, worker: WorkerId, epoch: Epoch) {
    let cx = cell.cx();
    let Some(client) = cx.hosts.worker(&worker, &cx.worker_transport) else {
        return;
    };
    let holder = cx.settings.process.clone();
    if let Err(e) = client.release(&ReleaseRequest { holder, epoch }).await {
        tracing::debug!(
            "lease: release on {worker} failed, the next holder waits for the expiry: {e}"
        );
    }
}
