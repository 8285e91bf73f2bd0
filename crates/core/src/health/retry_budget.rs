use std::collections::VecDeque;

use crate::policy::Percent;
use crate::unit::{Millis, Timestamp};

/// Sliding window in which starts and retries are counted.
const WINDOW: Millis = Millis::new(60_000);
/// Length of one bucket of the window.
const BUCKET_LENGTH: Millis = Millis::new(5_000);

/// Limits retries to a percentage of the recent first starts.
#[derive(Debug)]
pub struct RetryBudget {
    percent: Percent,
    buckets: VecDeque<Bucket>,
    starts: u64,
    retries: u64,
}

#[derive(Debug)]
struct Bucket {
    start: Timestamp,
    starts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget without recorded starts, which allows no retry yet.
    pub fn new(percent: Percent) -> Self {
        Self {
            percent,
            buckets: VecDeque::new(),
            starts: 0,
            retries: 0,
        }
    }

    /// Replaces the percentage.
    pub fn set_percent(&mut self, percent: Percent) {
        self.percent = percent;
    }

    /// Records a first start.
    pub fn record_start(&mut self, now: Timestamp) {
        self.bucket(now).starts += 1;
        self.starts += 1;
    }

    /// Takes one retry from the budget. Returns false if it is exhausted.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.evict_expired(now);
        let allowed = self.retries < self.percent.of(self.starts);
        if allowed {
            self.bucket(now).retries += 1;
            self.retries += 1;
        }
        allowed
    }

    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        self.evict_expired(now);
        let last = self.buckets.back();
        if last.is_none_or(|last| now.since(last.start) >= BUCKET_LENGTH) {
            self.buckets.push_back(Bucket {
                start: now,
                starts: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn evict_expired(&mut self, now: Timestamp) {
        while let Some(first) = self.buckets.front()
            && now.since(first.start) >= WINDOW
        {
            self.starts -= first.starts;
            self.retries -= first.retries;
            self.buckets.pop_front();
        }
    }
}
