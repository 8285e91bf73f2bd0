use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use lagoon_core::unit::Rate;
use tokio::time::{Instant, sleep_until};

/// Paces the small chunks of all requests to a common rate, in the order in which their readers ask.
///
/// A number of chunks is admitted at once after a time without any, so that a single request is not delayed.
#[derive(Debug)]
pub(super) struct SmallChunkPacer {
    interval: Duration,
    burst: Duration,
    /// End of the time that the chunks admitted so far take at the rate, a burst included.
    admitted_until: Mutex<Instant>,
}

impl SmallChunkPacer {
    /// Creates a pacer that admits `rate` chunks, and `burst` chunks at once.
    pub(super) fn new(rate: Rate, burst: u64) -> Self {
        let seconds = 1.0 / rate.as_per_second();
        Self {
            interval: Duration::from_secs_f64(seconds),
            burst: Duration::from_secs_f64(seconds * burst as f64),
            admitted_until: Mutex::new(Instant::now()),
        }
    }

    /// Waits until `count` chunks that have been read are admitted.
    pub(super) async fn admit(&self, count: u32) {
        let until = {
            let mut admitted = self
                .admitted_until
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *admitted = (*admitted).max(Instant::now()) + self.interval * count;
            *admitted - self.burst
        };
        sleep_until(until).await;
    }
}
