use std::sync::Arc;
use std::time::Duration;

use lagoon_jobs::id::JobId;
use lagoon_process::Sharded;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Wakes those who wait for a job's final state.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    waiting: Sharded<JobId, Arc<Notify>>,
}

impl Outcomes {
    /// Returns what `look` finds as soon as it is settled, or what it finds after `patience`.
    pub(super) async fn wait<R>(
        &self,
        id: JobId,
        patience: Duration,
        look: impl Fn() -> R,
        is_settled: impl Fn(&R) -> bool,
    ) -> R {
        let until = Instant::now() + patience;
        loop {
            let waiter = self
                .waiting
                .with(&id, |waiting| waiting.entry(id).or_default().clone());
            let woken = waiter.notified();
            tokio::pin!(woken);
            // Registers before the look, so that no change between the two is missed.
            woken.as_mut().enable();
            let found = look();
            if is_settled(&found) || tokio::time::timeout_at(until, woken).await.is_err() {
                self.forget_if_last(id);
                return found;
            }
        }
    }

    /// Wakes those who wait for one of these jobs.
    pub(super) fn announce(&self, ids: impl Iterator<Item = JobId>) {
        for id in ids {
            let waiter = self.waiting.with(&id, |waiting| waiting.remove(&id));
            if let Some(waiter) = waiter {
                waiter.notify_waiters();
            }
        }
    }

    /// Removes the entry of a job, called by one who waited for it while it still holds its share.
    fn forget_if_last(&self, id: JobId) {
        const OWN_AND_MAP: usize = 2;
        self.waiting.with(&id, |waiting| {
            let waiter = waiting.get(&id);
            if waiter.is_some_and(|waiter| Arc::strong_count(waiter) <= OWN_AND_MAP) {
                waiting.remove(&id);
            }
        });
    }
}
