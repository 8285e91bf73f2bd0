use std::sync::Arc;
use std::time::Duration;

use lagoon_jobs::id::JobId;
use lagoon_process::Sharded;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Requests that wait for the final state of a job.
#[derive(Debug, Default)]
pub(crate) struct OutcomeWaiters {
    waiters: Sharded<JobId, Arc<Notify>>,
}

impl OutcomeWaiters {
    /// Returns the value of `read` once `is_settled` holds for it, or its value after `timeout`.
    pub(super) async fn wait<R>(
        &self,
        id: JobId,
        timeout: Duration,
        read: impl Fn() -> R,
        is_settled: impl Fn(&R) -> bool,
    ) -> R {
        let until = Instant::now() + timeout;
        loop {
            let waiter = self
                .waiters
                .with(&id, |waiters| waiters.entry(id).or_default().clone());
            let notified = waiter.notified();
            tokio::pin!(notified);
            // Registers before `read`, so that no change in between is missed.
            notified.as_mut().enable();
            let found = read();
            if is_settled(&found) || tokio::time::timeout_at(until, notified).await.is_err() {
                self.remove_if_last(id);
                return found;
            }
        }
    }

    /// Wakes all requests that wait for one of these jobs.
    pub(super) fn wake_all(&self, ids: impl Iterator<Item = JobId>) {
        for id in ids {
            let waiter = self.waiters.with(&id, |waiters| waiters.remove(&id));
            if let Some(waiter) = waiter {
                waiter.notify_waiters();
            }
        }
    }

    /// Removes the entry of a job if the caller, which still holds its reference, is the last one that waits for it.
    fn remove_if_last(&self, id: JobId) {
        const OWN_AND_MAP: usize = 2;
        self.waiters.with(&id, |waiters| {
            let waiter = waiters.get(&id);
            if waiter.is_some_and(|waiter| Arc::strong_count(waiter) <= OWN_AND_MAP) {
                waiters.remove(&id);
            }
        });
    }
}
