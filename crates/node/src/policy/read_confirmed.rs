use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::api::PolicyReply;
use lagoon_core::unit::Millis;
use lagoon_jobs::policy::CellPolicy;
use tokio::time::timeout;

use crate::context::Context;
use crate::policy::follow::read_latest;

/// Time-out for one read. The store usually answers in 4 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(350);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time for which a request waits for the configuration.
const MAX_WAIT: Millis = Millis::new(700);

/// Returns the configuration by which a request is handled. After a pause it is read from the store first.
pub(crate) async fn read_confirmed(cx: &Context, deadline: Millis) -> PolicyReply {
    if cx.policy_guard.must_read() {
        // Half of the caller's time is left for the request itself.
        let wait = MAX_WAIT.min(Millis::new(deadline.get() / 2));
        if timeout(wait.to_duration(), confirm(cx)).await.is_err() && cx.policy_guard.must_read() {
            tracing::warn!(
                "api: request refused, the configuration could not be read after a pause"
            );
            return PolicyReply::Unconfirmed;
        }
    }
    current(cx.current_policy())
}

fn current(policy: Option<Arc<CellPolicy>>) -> PolicyReply {
    policy.map_or(PolicyReply::Absent, PolicyReply::Current)
}

async fn confirm(cx: &Context) {
    let _reading = cx.policy_guard.reading.lock().await;
    while cx.policy_guard.must_read() {
        match timeout(READ_TIMEOUT, read_latest(cx)).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => {
                tracing::warn!("policy: configuration can't be read after a pause: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(_) => tracing::warn!("policy: configuration not read in time after a pause"),
        }
    }
}
