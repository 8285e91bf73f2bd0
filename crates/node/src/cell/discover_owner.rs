use std::sync::Arc;
use std::time::Duration;

use lagoon_jobs::id::Epoch;
use lagoon_wire::v1::{GetOwnerRequest, GetOwnerResponse};

use crate::cell::OwnerEntry;
use crate::context::Context;

/// Time between two requests while the store does not answer; a takeover takes about 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time-out for a call to another member. The slowest link has a round trip of 40 ms.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Asks other members for the owner of the cell while the store does not answer this node, until the process ends.
pub(crate) async fn discover_owner(cx: Context) {
    let mut has_store = cx.store_reachable.subscribe();
    let mut round = 0;
    // The sender lives as long as the node, so this never fails.
    while has_store
        .wait_for(|is_reachable| !is_reachable)
        .await
        .is_ok()
    {
        query_peer(&cx, round).await;
        round += 1;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Asks the next member in turn, because some may have lost the store too.
async fn query_peer(cx: &Context, round: usize) {
    let cell = cx.current_cell();
    let others = cell.members.values().filter(|m| m.member != *cx.member());
    let addresses: Vec<_> = others.map(|member| member.address).collect();
    let Some(address) = addresses.get(round % addresses.len().max(1)) else {
        return;
    };
    let mut client = cx.peers.client(*address);
    match tokio::time::timeout(PEER_TIMEOUT, client.get_owner(GetOwnerRequest {})).await {
        Ok(Ok(response)) => apply_owner(cx, response.into_inner()),
        Ok(Err(e)) => tracing::debug!(peer = %address, "cell: request for the owner failed: {e}"),
        Err(_) => tracing::debug!(peer = %address, "cell: request for the owner timed out"),
    }
}

fn apply_owner(cx: &Context, response: GetOwnerResponse) {
    let member = response.member.and_then(|member| member.parse().ok());
    let (Some(member), Ok(address)) = (member, response.address.parse()) else {
        return;
    };
    let owner = OwnerEntry {
        member,
        address,
        epoch: Epoch::new(response.epoch),
    };
    cx.cell.send_if_modified(|view| {
        let mut changed = (**view).clone();
        let is_later = changed.update_owner(owner.clone());
        if is_later {
            tracing::info!(owner = %owner.member, epoch = %owner.epoch, "cell: another member reported a later owner");
            *view = Arc::new(changed);
        }
        is_later
    });
}
