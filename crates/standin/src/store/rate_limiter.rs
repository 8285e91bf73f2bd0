use lagoon_core::unit::Rate;
use tokio::time::Instant;

/// Token bucket with a burst of one second's worth of calls.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    pub(crate) fn new(rate: Rate, now: Instant) -> Self {
        let per_second = rate.as_per_second();
        Self {
            per_second,
            tokens: per_second,
            refilled_at: now,
        }
    }

    /// Takes a token. Returns false if the bucket is empty.
    pub(crate) fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.refilled_at = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
