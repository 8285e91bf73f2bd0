use std::collections::VecDeque;

use crate::policy::Percent;
use crate::unit::{Millis, Timestamp};

/// Starts and retries count for this time.
const WINDOW: Millis = Millis::new(60_000);
/// Starts and retries within this time are counted together.
const SLICE: Millis = Millis::new(5_000);

/// Bounds retries to a percentage of the recent first starts.
#[derive(Debug)]
pub struct RetryBudget {
    percent: Percent,
    slices: VecDeque<Slice>,
    starts: u64,
    retries: u64,
}

#[derive(Debug)]
struct Slice {
    began: Timestamp,
    starts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Starts without first starts, so that no retry is allowed yet.
    pub fn new(percent: Percent) -> Self {
        Self {
            percent,
            slices: VecDeque::new(),
            starts: 0,
            retries: 0,
        }
    }

    /// Changes the percentage.
    pub fn set_percent(&mut self, percent: Percent) {
        self.percent = percent;
    }

    /// Records a first start.
    pub fn record_start(&mut self, now: Timestamp) {
        self.slice(now).starts += 1;
        self.starts += 1;
    }

    /// Takes one retry from the budget; returns false if it is used up.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        self.drop_old(now);
        let allowed = self.retries < self.percent.of(self.starts);
        if allowed {
            self.slice(now).retries += 1;
            self.retries += 1;
        }
        allowed
    }

    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        self.drop_old(now);
        let last = self.slices.back();
        if last.is_none_or(|last| now.since(last.began) >= SLICE) {
            self.slices.push_back(Slice {
                began: now,
                starts: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn drop_old(&mut self, now: Timestamp) {
        while let Some(first) = self.slices.front()
            && now.since(first.began) >= WINDOW
        {
            self.starts -= first.starts;
            self.retries -= first.retries;
            self.slices.pop_front();
        }
    }
}
