use lagoon_core::unit::Millis;

/// Upper bounds of the buckets in milliseconds, about three per factor of ten: from the latency of one network hop to a
/// typical request timeout of a caller.
pub(crate) const BUCKET_BOUNDS_MS: [u64; 13] = [
    1, 3, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000,
];

/// Latency histogram.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Histogram {
    /// Number of latencies in each bucket; those above the last bound are only in `count`.
    pub(crate) buckets: [u64; BUCKET_BOUNDS_MS.len()],
    pub(crate) count: u64,
    pub(crate) sum_ms: u64,
}

impl Histogram {
    pub(crate) fn observe(&mut self, time: Millis) {
        if let Some(bucket) = BUCKET_BOUNDS_MS
            .iter()
            .position(|bound| time.get() <= *bound)
        {
            self.buckets[bucket] += 1;
        }
        self.count += 1;
        self.sum_ms = self.sum_ms.saturating_add(time.get());
    }
}
