use crate::unit::{Millis, Rate, Timestamp};

/// Weight of the newest sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Shortest interval over which starts are counted for one sample.
const MIN_INTERVAL: Millis = Millis::new(500);
/// Number of samples before an estimate is given.
const MIN_SAMPLES: u32 = 4;

/// Exponentially weighted moving average of the rate at which work starts.
///
/// Counts only time in which work waits, because the rate of an idle system does not show how much it could start.
#[derive(Debug, Clone, Default)]
pub struct StartRateEstimator {
    interval_start: Option<Timestamp>,
    starts: u64,
    starts_per_ms: f64,
    samples: u32,
}

impl StartRateEstimator {
    /// Creates an estimator without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records `starts` at `now`; `backlog` is true if more work waits.
    pub fn record(&mut self, now: Timestamp, starts: u64, backlog: bool) {
        let Some(interval_start) = self.interval_start else {
            self.interval_start = backlog.then_some(now);
            self.starts = 0;
            return;
        };
        self.starts += starts;
        let elapsed = now.since(interval_start);
        if elapsed >= MIN_INTERVAL {
            let rate = self.starts as f64 / elapsed.get() as f64;
            self.starts_per_ms = match self.samples {
                0 => rate,
                _ => self.starts_per_ms + SMOOTHING_FACTOR * (rate - self.starts_per_ms),
            };
            self.samples = self.samples.saturating_add(1);
            self.interval_start = Some(now);
            self.starts = 0;
        }
        if !backlog {
            self.interval_start = None;
        }
    }

    /// Returns the rate of starts, or `None` until there are enough samples.
    pub fn rate(&self) -> Option<Rate> {
        let rate = Rate::new((self.starts_per_ms * 1_000_000.0).round() as u64);
        (self.samples >= MIN_SAMPLES).then_some(rate)
    }
}

/// Returns the time that `items` need to start at `rate`.
pub(super) fn time_to_start(items: u64, rate: Rate) -> Millis {
    let millis = u128::from(items) * 1_000_000 / u128::from(rate.get().max(1));
    Millis::new(u64::try_from(millis).unwrap_or(u64::MAX))
}
