use std::sync::Arc;

use lagoon_core::unit::Millis;

use crate::context::Context;
use crate::policy::POLICY_KEY;
use crate::util::BoxError;

/// Time after which a watch without changes is renewed.
const WATCH_TIMEOUT: Millis = Millis::new(30_000);
/// Delay after a failed call.
const RETRY_DELAY: Millis = Millis::new(500);

/// Watches the policy document in the store and applies its changes.
pub(crate) async fn watch(cx: Arc<Context>) {
    loop {
        if let Err(e) = watch_until_error(&cx).await {
            tracing::debug!("policy: watch of the store failed, retrying: {e}");
        }
        tokio::time::sleep(RETRY_DELAY.to_duration()).await;
    }
}

async fn watch_until_error(cx: &Context) -> Result<(), BoxError> {
    let listed = cx.store.list(POLICY_KEY).await?;
    let mut revision = listed.revision;
    let mut entries = listed.entries;
    loop {
        for entry in entries.iter().filter(|entry| entry.key == POLICY_KEY) {
            cx.policy.update_from_document(&entry.value);
        }
        let changes = cx.store.watch(POLICY_KEY, revision, WATCH_TIMEOUT).await?;
        revision = changes.revision;
        entries = changes.entries;
    }
}
