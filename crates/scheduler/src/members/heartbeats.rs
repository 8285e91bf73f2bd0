use std::collections::BTreeSet;
use std::sync::Arc;

use lagoon_core::unit::Millis;
use lagoon_wire::v1;
use lagoon_wire::v1::peer_client::PeerClient;
use tokio::task::JoinSet;
use tonic::transport::{Channel, Endpoint};

use crate::service::Node;
use crate::util::BoxError;

/// Longest wait for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Millis = Millis::new(1_000);

/// Sends heartbeats to all known schedulers. Each peer has its own task, so that an unresponsive one delays no other.
pub(crate) async fn run_heartbeats(node: Arc<Node>) {
    let mut started = BTreeSet::new();
    let mut peers = JoinSet::new();
    let mut timer = tokio::time::interval(node.cx.settings.heartbeat.to_duration());
    loop {
        timer.tick().await;
        for address in node.cx.members.peer_addresses() {
            if started.insert(address.clone()) {
                peers.spawn(send_heartbeats_to(node.clone(), address));
            }
        }
    }
}

/// Announces to all schedulers that this process owns no shards any more, so that they need not wait until they
/// suspect it.
pub(crate) async fn announce_leaving(node: &Arc<Node>) {
    let mut peers = JoinSet::new();
    for address in node.cx.members.peer_addresses() {
        let node = node.clone();
        peers.spawn(async move {
            if let Some(mut client) = connect(&address)
                && let Err(e) = send_heartbeat(&node, &mut client).await
            {
                tracing::debug!("members: last heartbeat to {address} failed: {e}");
            }
        });
    }
    while peers.join_next().await.is_some() {}
}

fn connect(address: &str) -> Option<PeerClient<Channel>> {
    let limit = HEARTBEAT_TIMEOUT.to_duration();
    match Endpoint::from_shared(format!("http://{address}")) {
        Ok(endpoint) => {
            let endpoint = endpoint.connect_timeout(limit).timeout(limit);
            Some(PeerClient::new(endpoint.connect_lazy()))
        }
        Err(e) => {
            tracing::error!(
                "members: {address} is not a valid address, it gets no heartbeats: {e}"
            );
            None
        }
    }
}

async fn send_heartbeats_to(node: Arc<Node>, address: String) {
    let Some(mut client) = connect(&address) else {
        return;
    };
    let mut timer = tokio::time::interval(node.cx.settings.heartbeat.to_duration());
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        if let Err(e) = send_heartbeat(&node, &mut client).await {
            tracing::debug!("members: heartbeat to {address} failed: {e}");
        }
    }
}

async fn send_heartbeat(node: &Node, client: &mut PeerClient<Channel>) -> Result<(), BoxError> {
    let cx = &node.cx;
    let req = v1::HeartbeatRequest {
        sender: Some(node.own_member()),
        leaving: cx.members.is_leaving(),
    };
    let response = client.heartbeat(req).await?.into_inner();
    let now = cx.clock.now();
    let Some(receiver) = &response.receiver else {
        return Ok(());
    };
    cx.members.on_heartbeat(receiver, now);
    for member in &response.members {
        cx.members.add_address(&member.address);
    }
    node.check_claims(receiver);
    let known_version = cx.policy.version().get();
    // The first version is read from the store: after a restart, a peer that was cut off might report an older version
    // than this process had in force before.
    if known_version > 0 && receiver.policy_version > known_version {
        let policy = client
            .get_policy(v1::GetPolicyRequest { known_version })
            .await?
            .into_inner();
        if !policy.document.is_empty() {
            cx.policy.update_from_document(&policy.document);
        }
    }
    Ok(())
}
