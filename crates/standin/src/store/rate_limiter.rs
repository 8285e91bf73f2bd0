use lagoon_core::unit::Rate;
use tokio::time::Instant;

/// Token bucket that holds one second's worth of calls.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    per_second: f64,
    tokens: f64,
    filled: Instant,
}

impl RateLimiter {
    pub(crate) fn new(rate: Rate, now: Instant) -> Self {
        let per_second = rate.as_per_second();
        Self {
            per_second,
            tokens: per_second,
            filled: now,
        }
    }

    /// Takes a token; false if there is none.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        self.filled = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
