use std::sync::Arc;

use lagoon_core::shard::{Shard, ShardPhase};

use crate::cell::ShardCell;
use crate::drive::hand_over::LEASE_CALLS_TIMEOUT;
use crate::drive::{HandOverReason, hand_over};

/// Peers that are asked to take a shard of a process that stops.
const MAX_SUCCESSORS: usize = 2;

/// Gives a shard up because the process stops: to a peer if one takes it, otherwise to whoever claims it.
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
        let handed = hand_over(cell, to, HandOverReason::Stopping);
        if let Ok(Ok(())) = tokio::time::timeout(limit * 2, handed).await {
            return;
        }
    }
    release_without_successor(cell).await;
}

/// Ends the ownership without a successor.
async fn release_without_successor(cell: &Arc<ShardCell>) {
    let cx = cell.cx();
    let now = cx.clock.now();
    let begun = cell.with(|shard| {
        shard.begin_hand_over(now);
        shard.epoch()
    });
    let Ok(epoch) = begun else {
        return;
    };
    let limit = cx.settings.drain_timeout;
    if !cell.wait_until(epoch, limit, Shard::requests_done).await {
        let id = cell.id();
        tracing::warn!("shard: {id} still had requests in flight after {limit}");
    }
    cell.with_epoch(epoch, Shard::release_leases);
    cell.wait_for_lease_calls(LEASE_CALLS_TIMEOUT).await;
    let limit = cx.settings.record_timeout;
    if !cell.wait_until(epoch, limit, Shard::journal_idle).await {
        let id = cell.id();
        tracing::warn!("shard: {id} has entries that the store did not take in {limit}");
    }
    cell.step_down();
}
