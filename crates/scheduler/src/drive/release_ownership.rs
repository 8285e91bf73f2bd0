use std::sync::Arc;

use lagoon_core::shard::{Shard, ShardPhase};

use crate::cell::ShardCell;
use crate::drive::hand_over::LEASE_CALLS_TIMEOUT;
use crate::drive::{HandOverReason, hand_over};

/// Upper bound on the peers that a stopping process asks to take a shard over.
const MAX_SUCCESSORS: usize = 2;

/// Releases a shard because the process stops: to a peer if one takes it over, otherwise without a successor.
pub(crate) async fn release_ownership(cell: &Arc<ShardCell>) {
    let cx = cell.cx();
    let limit = cx.settings.drain_timeout.to_duration();
    let busy = |phase: &ShardPhase| matches!(phase, ShardPhase::Claiming | ShardPhase::HandingOver);
    let mut phase = cell.watch_phase();
    let _ = tokio::time::timeout(limit, phase.wait_for(|phase| !busy(phase))).await;
    let peers = cx.members.successors(cell.id(), cx.clock.now());
    for to in peers.iter().take(MAX_SUCCESSORS) {
        if cell.epoch().is_none() {
            return;
        }
        let handed_over = hand_over(cell, to, HandOverReason::Stopping);
        if let Ok(Ok(())) = tokio::time::timeout(limit * 2, handed_over).await {
            return;
        }
    }
    release_without_successor(cell).await;
}

/// Ends the ownership without a successor. The next owner claims the shard by election.
async fn release_without_successor(cell: &Arc<ShardCell>) {
    let cx = cell.cx();
    let now = cx.clock.now();
    let epoch = cell.with(|shard| {
        shard.begin_hand_over(now);
        shard.epoch()
    });
    let Ok(epoch) = epoch else {
        return;
    };
    let limit = cx.settings.drain_timeout;
    if !cell.wait_until(epoch, limit, Shard::requests_done).await {
        let id = cell.id();
        tracing::warn!(
            "shard: {id} still has requests in flight after {limit}, releasing it anyway"
        );
    }
    cell.with_epoch(epoch, Shard::release_leases);
    cell.wait_for_lease_calls(LEASE_CALLS_TIMEOUT).await;
    let limit = cx.settings.record_timeout;
    if !cell.wait_until(epoch, limit, Shard::journal_idle).await {
        let id = cell.id();
        tracing::warn!(
            "shard: journal of {id} was not committed within {limit}, releasing it anyway"
        );
    }
    cell.step_down();
}
