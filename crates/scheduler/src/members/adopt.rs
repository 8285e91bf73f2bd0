use std::collections::BTreeSet;
use std::sync::Arc;

use lagoon_core::id::ShardId;
use lagoon_core::journal::JournalKeys;
use lagoon_core::unit::Millis;
use lagoon_platform::ErrorKind;

use crate::context::Context;
use crate::service::Node;

/// Interval between checks for shards without an owner, and so between calls to a store that may be unavailable.
const CHECK_INTERVAL: Millis = Millis::new(500);

/// Decides for which shards the workers are adopted: those without a live owner while the store can't be reached. The
/// workers stay adopted until their shard has an owner again, so that an intermittent store does not move them.
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

/// Returns true if the store can't be reached. An overloaded store, which answers with status 429, can be reached.
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
            "lease: shard {shard} has no owner and the store is unavailable; adopting its workers"
        );
    }
    for shard in before.iter().filter(|shard| !after.contains(shard)) {
        tracing::info!("lease: shard {shard} has an owner again; returning its workers");
    }
}
