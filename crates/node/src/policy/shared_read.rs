use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lagoon_jobs::policy::CellPolicy;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::context::Context;
use crate::policy::finished_read::FinishedRead;
use crate::policy::follow::read_latest;

/// Longest time for which a request waits for a read, its own or a shared one.
const MAX_WAIT: Duration = Duration::from_millis(1_200);

/// Reads of the configuration, one at a time, whose results are shared by the requests that wait.
#[derive(Debug, Default)]
pub(crate) struct SharedRead {
    begun: AtomicU64,
    last: Mutex<FinishedRead>,
}

impl SharedRead {
    /// Returns a configuration that was read after the call, or `None` if it can't be read.
    pub(crate) async fn latest(&self, cx: &Context) -> Option<Arc<CellPolicy>> {
        let read = timeout(MAX_WAIT, self.wait(cx)).await;
        if read.is_err() {
            tracing::warn!("api: configuration not read from the store within {MAX_WAIT:?}");
        }
        match read {
            Ok(true) => cx.current_policy(),
            Ok(false) | Err(_) => None,
        }
    }

    /// Waits for a read that begins after the call; returns true if it succeeded.
    async fn wait(&self, cx: &Context) -> bool {
        // A read that has begun may return the configuration from before the call.
        let begun_before = self.begun.load(Ordering::Acquire);
        let mut last = self.last.lock().await;
        if last.number <= begun_before {
            let number = self.begun.fetch_add(1, Ordering::AcqRel) + 1;
            let outcome = read_latest(cx).await;
            if let Err(e) = &outcome {
                tracing::warn!("api: configuration can't be read from the store: {e}");
            }
            let succeeded = outcome.is_ok();
            *last = FinishedRead { number, succeeded };
        }
        last.succeeded
    }
}
