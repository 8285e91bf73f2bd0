use crate::unit::{Millis, Rate, Timestamp};

/// Weight of the newest interval in the average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Starts are counted over intervals of at least this length.
const INTERVAL: Millis = Millis::new(500);
/// Intervals before an estimate is given.
const MIN_INTERVALS: u32 = 4;

/// Exponentially weighted average of the rate at which work starts.
///
/// Only time in which work waits counts, because an idle system's rate of starts says nothing about what it could start.
#[derive(Debug, Clone, Default)]
pub struct StartRateEstimator {
    started_at: Option<Timestamp>,
    starts: u64,
    per_ms: f64,
    intervals: u32,
}

impl StartRateEstimator {
    /// Starts without an estimate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records starts at `now`; `backlog` tells whether more work waits.
    pub fn record(&mut self, now: Timestamp, starts: u64, backlog: bool) {
        let Some(started_at) = self.started_at else {
            self.started_at = backlog.then_some(now);
            self.starts = 0;
            return;
        };
        self.starts += starts;
        let elapsed = now.since(started_at);
        if elapsed >= INTERVAL {
            let rate = self.starts as f64 / elapsed.get() as f64;
            self.per_ms = match self.intervals {
                0 => rate,
                _ => self.per_ms + NEWEST_WEIGHT * (rate - self.per_ms),
            };
            self.intervals = self.intervals.saturating_add(1);
            self.started_at = Some(now);
            self.starts = 0;
        }
        if !backlog {
            self.started_at = None;
        }
    }

    /// Returns the rate of starts; none until enough was measured.
    pub fn rate(&self) -> Option<Rate> {
        let rate = Rate::new((self.per_ms * 1_000_000.0).round() as u64);
        (self.intervals >= MIN_INTERVALS).then_some(rate)
    }
}

/// Returns the time in which `items` start at `rate`.
pub(super) fn time_to_start(items: u64, rate: Rate) -> Millis {
    let millis = u128::from(items) * 1_000_000 / u128::from(rate.get().max(1));
    Millis::new(u64::try_from(millis).unwrap_or(u64::MAX))
}
