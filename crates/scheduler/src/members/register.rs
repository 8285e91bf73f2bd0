use std::sync::Arc;

use lagoon_core::unit::Millis;
use lagoon_platform::store::Precondition;

use crate::context::Context;
use crate::util::BoxError;

/// Time to live of the entry of a process.
const ENTRY_TTL: Millis = Millis::new(15_000);
/// Interval between renewals, and between reads of the other entries.
const RENEW_INTERVAL: Millis = Millis::new(5_000);
const KEY_PREFIX: &str = "members/";

/// Maintains the entry of this process in the store and reads the addresses of others from theirs. Only heartbeats
/// decide which members are alive, so that an outage of the store changes nothing.
pub(crate) async fn register(cx: Arc<Context>) {
    loop {
        if let Err(e) = maintain_entry(&cx).await {
            tracing::debug!("members: entry in the store can't be maintained, retrying: {e}");
        }
        tokio::time::sleep(RENEW_INTERVAL.to_duration()).await;
    }
}

async fn maintain_entry(cx: &Context) -> Result<(), BoxError> {
    let key = format!("{KEY_PREFIX}{}", cx.settings.process);
    let lease = cx.store.grant_lease(ENTRY_TTL).await?;
    cx.store
        .put(
            &key,
            &cx.members.own_address(),
            Precondition::Any,
            Some(lease),
        )
        .await?;
    loop {
        for entry in cx.store.list(KEY_PREFIX).await?.entries {
            cx.members.add_address(&entry.value);
        }
        tokio::time::sleep(RENEW_INTERVAL.to_duration()).await;
        if !cx.store.keep_alive(lease).await? {
            return Ok(());
        }
    }
}
