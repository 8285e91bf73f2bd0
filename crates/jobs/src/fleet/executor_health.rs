use lagoon_core::unit::{Millis, Timestamp};

/// Consecutive failed runs after which an executor is suspect. Tasks fail by their own fault in at most 5% of their
/// runs, so three failures in a row are rare on a healthy executor.
const MAX_FAILURES: u32 = 3;
/// Time for which a suspect executor gets no new runs. The platform's grey failures last about as long.
const SUSPECT_PERIOD: Millis = Millis::new(5_000);

/// Classifies an executor as healthy or suspect by the outcomes of its runs and by whether it answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExecutorHealth {
    failures: u32,
    suspect_until: Timestamp,
}

impl ExecutorHealth {
    /// Records a successful run, after which the executor is no longer suspect.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspect_until = Timestamp::default();
    }

    /// Records a failed run. Returns true if the executor is suspect because of it.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        let suspect = self.failures >= MAX_FAILURES;
        if suspect {
            self.suspect_until = now.after(SUSPECT_PERIOD);
        }
        suspect
    }

    /// Marks the executor as suspect because it does not answer or a run on it makes no progress.
    pub fn mark_suspect(&mut self, now: Timestamp) {
        self.suspect_until = self.suspect_until.max(now.after(SUSPECT_PERIOD));
    }

    /// Returns the remaining time for which the executor is suspect; `None` if it is not.
    pub fn suspect_for(&self, now: Timestamp) -> Option<Millis> {
        self.is_suspect(now).then(|| self.suspect_until.since(now))
    }

    /// Returns true if the executor is suspect.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until
    }
}
