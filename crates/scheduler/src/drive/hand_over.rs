//! Planned handover at the owner. The module `lagoon_core::shard::hand_over` describes what happens if a message is
//! lost or a process dies. The response of the successor only saves the wait for the store.

use std::sync::Arc;

use lagoon_core::id::Epoch;
use lagoon_core::shard::{HandOverSnapshot, Shard, ShardPhase};
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::convert::refusal_from_wire;
use lagoon_wire::v1;
use lagoon_wire::v1::peer_client::PeerClient;
use tonic::transport::Endpoint;

use crate::cell::ShardCell;
use crate::members::Successor;
use crate::util::{BoxError, MAX_HAND_OVER_BYTES};

/// Longest wait for the successor's response, which comes after its claim.
const RESPONSE_TIMEOUT: Millis = Millis::new(10_000);

/// Longest wait for the calls that request or release worker leases when the leases are released.
pub(super) const LEASE_CALLS_TIMEOUT: Millis = Millis::new(500);

/// Why a shard is handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HandOverReason {
    /// Another process is the preferred owner.
    Preferred,
    /// An operator requested it.
    Operator,
    /// The process stops.
    Stopping,
}

/// Hands a shard over. After an error it is served here again, unless another process has claimed it in the meantime.
///
/// # Errors
///
/// Refused if the shard is not served here, requests take too long, the journal can't be committed, or the successor
/// does not claim the shard.
pub(crate) async fn hand_over(
    cell: &Arc<ShardCell>,
    to: &Successor,
    reason: HandOverReason,
) -> Result<(), Refusal> {
    let cx = cell.cx();
    let now = cx.clock.now();
    let epoch = cell.with(|shard| shard.begin_hand_over(now).then(|| shard.epoch()))?;
    let epoch = epoch.ok_or_else(|| refused(cell, "is not being served"))?;
    tracing::info!("shard: handing {} over to {}", cell.id(), to.process);
    let sent = match prepare(cell, epoch, reason).await {
        Ok(snapshot) => send(cell, epoch, to, reason, &snapshot).await,
        Err(refusal) => Err(refusal),
    };
    match sent {
        Ok(()) => {
            cx.members
                .record_hand_over(cell.id(), &to.process, cx.clock.now());
            if cell.epoch() == Some(epoch) {
                cell.step_down();
            }
            Ok(())
        }
        Err(refusal) => {
            tracing::warn!(
                "shard: handover of {} failed, resuming it here: {refusal}",
                cell.id()
            );
            resume(cell, epoch).await;
            Err(refusal)
        }
    }
}

async fn prepare(
    cell: &Arc<ShardCell>,
    epoch: Epoch,
    reason: HandOverReason,
) -> Result<HandOverSnapshot, Refusal> {
    let cx = cell.cx();
    let limit = cx.settings.drain_timeout;
    let done = cell.wait_until(epoch, limit, Shard::requests_done).await;
    // A process that stops can't wait longer. Callers of these requests get "not known" from the successor.
    if !done && reason != HandOverReason::Stopping {
        return Err(refused(cell, "still has requests in flight"));
    }
    cell.with_epoch(epoch, Shard::release_leases);
    cell.wait_for_lease_calls(LEASE_CALLS_TIMEOUT).await;
    let committed = cell.wait_until(epoch, cx.settings.record_timeout, Shard::journal_idle);
    let now = cx.clock.now();
    if !committed.await {
        return Err(refused(
            cell,
            "has journal entries that the store has not recorded",
        ));
    }
    let exported = cell.with_epoch(epoch, |shard| shard.export(now)).flatten();
    exported.ok_or_else(|| refused(cell, "changed during the handover"))
}

async fn send(
    cell: &ShardCell,
    epoch: Epoch,
    to: &Successor,
    reason: HandOverReason,
    snapshot: &HandOverSnapshot,
) -> Result<(), Refusal> {
    match call(cell, epoch, to, reason, snapshot).await {
        Ok(None) => Ok(()),
        Ok(Some(refusal)) => Err(refusal_from_wire(&refusal)),
        Err(e) => Err(refused(
            cell,
            &format!("got no response from {}: {e}", to.process),
        )),
    }
}

async fn call(
    cell: &ShardCell,
    epoch: Epoch,
    to: &Successor,
    reason: HandOverReason,
    snapshot: &HandOverSnapshot,
) -> Result<Option<v1::Refusal>, BoxError> {
    let req = v1::HandOverRequest {
        shard: cell.id().to_string(),
        epoch: epoch.get(),
        tickets: serde_json::to_vec(&snapshot.tickets)?,
        head_version: snapshot.head.get(),
        unsent: snapshot.unsent.iter().map(ToString::to_string).collect(),
        by_operator: reason == HandOverReason::Operator,
    };
    let limit = RESPONSE_TIMEOUT.to_duration();
    let endpoint = Endpoint::from_shared(format!("http://{}", to.address))?;
    let channel = endpoint.connect_timeout(limit).timeout(limit);
    let mut client =
        PeerClient::new(channel.connect_lazy()).max_encoding_message_size(MAX_HAND_OVER_BYTES);
    Ok(client.hand_over(req).await?.into_inner().refusal)
}

/// Waits until the shard is served here again or another process owns it.
async fn resume(cell: &Arc<ShardCell>, epoch: Epoch) {
    let now = cell.cx().clock.now();
    let mut phase = cell.watch_phase();
    cell.with_epoch(epoch, |shard| shard.abort_hand_over(now));
    let _ = phase
        .wait_for(|phase| *phase != ShardPhase::HandingOver)
        .await;
}

fn refused(cell: &ShardCell, reason: &str) -> Refusal {
    Refusal::new(
        ResultCode::NotServing,
        format!("shard {} {reason}", cell.id()),
    )
}
