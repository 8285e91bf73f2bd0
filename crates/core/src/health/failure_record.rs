use std::collections::VecDeque;

use crate::unit::{Millis, Timestamp};

/// Recent failures of one worker.
#[derive(Debug, Default)]
pub(super) struct FailureRecord {
    failures: VecDeque<Timestamp>,
    pub(super) rested_until: Option<Timestamp>,
}

impl FailureRecord {
    /// Records a failure. Returns true if there are at least `limit` within the window.
    pub(super) fn add(&mut self, now: Timestamp, window: Millis, limit: u32) -> bool {
        self.failures.push_back(now);
        let excess = self.failures.len().saturating_sub(limit.max(1) as usize);
        self.failures.drain(..excess);
        while let Some(first) = self.failures.front()
            && now.since(*first) > window
        {
            self.failures.pop_front();
        }
        self.failures.len() >= limit.max(1) as usize
    }

    pub(super) fn clear(&mut self) {
        self.failures.clear();
    }
}
