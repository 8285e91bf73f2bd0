use lagoon_core::unit::{Millis, Timestamp};

/// Time between two observations above which the process is taken to have been paused in between.
const MAX_GAP: Millis = Millis::new(250);

/// Tells whether a value read from another process may be out of date because this process was paused since.
///
/// Times come from [`Clock`](crate::Clock), which keeps advancing during a pause.
#[derive(Debug)]
pub struct PauseDetector {
    observed_at: Timestamp,
    /// End of the last pause after which the value has not been read.
    resumed_at: Option<Timestamp>,
}

impl PauseDetector {
    /// Time between calls of [`observe`](Self::observe) that a running process keeps to.
    pub const INTERVAL: Millis = Millis::new(100);

    /// Creates a detector for a process that runs at `now`.
    pub fn new(now: Timestamp) -> Self {
        Self {
            observed_at: now,
            resumed_at: None,
        }
    }

    /// Records that the process runs at `now`. Returns the length of a pause that has just ended.
    pub fn observe(&mut self, now: Timestamp) -> Option<Millis> {
        let gap = now.since(self.observed_at);
        self.observed_at = self.observed_at.max(now);
        (gap > MAX_GAP).then(|| {
            self.resumed_at = Some(now);
            gap
        })
    }

    /// Records that the value was read by a request sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Timestamp) {
        self.resumed_at = self.resumed_at.filter(|resumed| sent_at < *resumed);
    }

    /// Returns true if the value has not been read since a pause that ended at most `limit` before `now`.
    pub fn is_outdated(&self, limit: Millis, now: Timestamp) -> bool {
        self.resumed_at
            .is_some_and(|resumed| now.since(resumed) <= limit)
    }
}
