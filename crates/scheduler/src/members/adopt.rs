use std::collections::BTreeSet;
use std::sync::Arc;

use lagoon_core::id::ShardId;
use lagoon_core::journal::JournalKeys;
use lagoon_core::unit::Millis;
use lagoon_platform::ErrorKind;

use crate::context::Context;
use crate::service::Node;

/// Wait between looks at shards without an owner, and so between calls to a store that may be down.
const CHECK_INTERVAL: Millis = Millis::new(500);

/// Decides which shards' workers are adopted: those whose owner is suspected, once the store can't be reached. They stay
/// adopted until they have an owner again, so that a store that comes and goes does not move them.
pub(crate) async fn adopt(node: Arc<Node>) {
    let cx = &node.cx;
    loop {
        tokio::time::sleep(CHECK_INTERVAL.to_duration()).await;
        cx.members.set_own_epochs(node.owned_epochs());
        let mut ownerless = node.ownerless(cx.clock.now());
        let before = cx.adoption.ownerless();
        let added = ownerless.iter().find(|shard| !before.contains(shard));
        let unavailable = match added {
            Some(shard) => store_is_unavailable(cx, shard).await,
            None => false,
        };
        if !unavailable {
            ownerless.retain(|shard| before.contains(shard));
        }
        log_changes(&before, &ownerless);
        cx.adoption
            .set(ownerless, node.owned_shards(cx.clock.now()));
    }
}

/// Tells whether the store is out of reach. One that is overloaded is not.
async fn store_is_unavailable(cx: &Context, shard: &ShardId) -> bool {
    let key = JournalKeys::new(shard).head();
    match cx.store.get(&key).await {
        Ok(_) => false,
        Err(e) => !matches!(e.kind(), ErrorKind::Refused { status: 429, .. }),
    }
}

fn log_changes(before: &[ShardId], after: &BTreeSet<ShardId>) {
    for shard in after.iter().filter(|shard| !before.contains(shard)) {
        tracing::warn!(
            "lease: shard {shard} has no owner and the store is down; its workers are adopted"
        );
    }
    for shard in before.iter().filter(|shard| !after.contains(shard)) {
        tracing::info!("lease: shard {shard} has an owner; its workers are given back");
    }
}
