use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Wall-clock cost of an operation, in nanoseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Cost {
    /// Name of the operation.
    pub what: String,
    /// Number of measurements.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

impl Cost {
    pub(crate) fn of(what: &str, histogram: &Histogram<u64>) -> Self {
        Self {
            what: what.to_owned(),
            count: histogram.len(),
            mean: histogram.mean(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        }
    }
}

/// Returns an empty histogram with three significant digits.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

/// Adds a value. The histogram resizes as needed, so that no value is clamped.
pub(crate) fn add(histogram: &mut Histogram<u64>, value: u64) {
    histogram
        .record(value)
        .expect("the histogram resizes itself");
}

/// Adds a duration in nanoseconds.
pub(crate) fn record(histogram: &mut Histogram<u64>, elapsed: Duration) {
    add(histogram, elapsed.as_nanos() as u64);
}
