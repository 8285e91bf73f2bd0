use lagoon_core::unit::{Millis, Timestamp};

use crate::id::MemberId;

/// Weight of a new sample in the moving average of the delay.
const DELAY_WEIGHT: f64 = 0.2;
/// Time without requests after one that was not answered: the member may be partitioned or stopped.
const RETRY_BACKOFF: Millis = Millis::new(1_000);

/// The adviser as reached through one member of the cell. It answers each member's requests one at a time.
#[derive(Debug, Clone)]
pub struct AdviserEndpoint {
    /// The member that sends the requests.
    pub member: MemberId,
    /// Total cost of the requests in flight.
    pub pending: Millis,
    delay_ms: f64,
    retry_at: Timestamp,
}

impl AdviserEndpoint {
    /// Returns an endpoint without requests in flight.
    pub fn new(member: MemberId) -> Self {
        Self {
            member,
            pending: Millis::ZERO,
            delay_ms: 0.0,
            retry_at: Timestamp::default(),
        }
    }

    /// Returns true if a request has failed within the last `RETRY_BACKOFF`.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.retry_at
    }

    /// Returns the expected time in milliseconds until a further request is answered, excluding its own cost.
    pub fn expected_delay_ms(&self) -> f64 {
        self.pending.get() as f64 + self.delay_ms
    }

    /// Adds a request.
    pub fn begin(&mut self, cost: Millis) {
        self.pending = self.pending.saturating_add(cost);
    }

    /// Records that a request was answered after `took`.
    pub fn answered(&mut self, cost: Millis, took: Millis) {
        self.pending = self.pending.saturating_sub(cost);
        let delay = took.saturating_sub(cost).get() as f64;
        self.delay_ms += (delay - self.delay_ms) * DELAY_WEIGHT;
    }

    /// Records that a request was not answered.
    pub fn failed(&mut self, cost: Millis, now: Timestamp) {
        self.pending = self.pending.saturating_sub(cost);
        self.retry_at = now.after(RETRY_BACKOFF);
    }
}
