use std::sync::{Mutex, PoisonError};

use lagoon_core::unit::{Millis, Rate, Timestamp};

/// Rate at which a node records cancellations of jobs that are not stored. All nodes together stay far below the write rate of the
/// store, also while a client cancels made-up ids.
const RATE: Rate = Rate::per_second(10);
/// Number of cancellations that a node records at once after a time without any.
const BURST: f64 = 30.0;

/// Token bucket for cancellations of jobs that are not stored, each of which leaves a key in the store for a time.
#[derive(Debug)]
pub(crate) struct CancelLimiter {
    /// Tokens, and when they were last refilled.
    bucket: Mutex<(f64, Timestamp)>,
}

impl CancelLimiter {
    /// Returns a limiter with a full bucket.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            bucket: Mutex::new((BURST, now)),
        }
    }

    /// Takes a token, or returns the time after which there is one.
    pub(crate) fn try_acquire(&self, now: Timestamp) -> Result<(), Millis> {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, refilled_at) = *bucket;
        let passed_s = now.since(refilled_at).get() as f64 / 1_000.0;
        let tokens = (tokens + passed_s * RATE.as_per_second()).min(BURST);
        if tokens < 1.0 {
            *bucket = (tokens, now);
            let wait_s = (1.0 - tokens) / RATE.as_per_second();
            return Err(Millis::new((wait_s * 1_000.0).ceil() as u64));
        }
        *bucket = (tokens - 1.0, now);
        Ok(())
    }
}
