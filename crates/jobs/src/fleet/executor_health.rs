use lagoon_core::unit::{Millis, Timestamp};

/// Failed runs on end after which an executor gets no new ones. Tasks fail by their own fault in at most 5% of their
/// runs, so three on end are rare on a sound executor.
const MAX_FAILURES: u32 = 3;
/// Time for which a suspect gets no new runs; about as long as the platform's grey failures last.
const SUSPECT_PERIOD: Millis = Millis::new(5_000);

/// Tells suspects from sound executors by what their runs came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExecutorHealth {
    failures: u32,
    suspect_until: Timestamp,
}

impl ExecutorHealth {
    /// Notes that a run ended well.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspect_until = Timestamp::default();
    }

    /// Notes a failed run; true if the executor becomes a suspect by it.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        let suspect = self.failures >= MAX_FAILURES;
        if suspect {
            self.suspect_until = now.after(SUSPECT_PERIOD);
        }
        suspect
    }

    /// Notes that the executor does not answer or does not work on what it runs.
    pub fn mark_suspect(&mut self, now: Timestamp) {
        self.suspect_until = self.suspect_until.max(now.after(SUSPECT_PERIOD));
    }

    /// Returns the time for which a suspect still gets no new runs.
    pub fn suspect_for(&self, now: Timestamp) -> Option<Millis> {
        self.is_suspect(now).then(|| self.suspect_until.since(now))
    }

    /// Tells whether the executor is a suspect.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until
    }
}
