use lagoon_core::unit::{Millis, Timestamp};

use crate::id::MemberId;

/// Weight of a new answer against the mean delay so far.
const DELAY_WEIGHT: f64 = 0.2;
/// Pause of a lane after a question without an answer: its member may be cut off or stopped.
const REST: Millis = Millis::new(1_000);

/// A member of the cell as a way to ask the adviser, which answers each member one question at a time.
#[derive(Debug, Clone)]
pub struct Lane {
    /// The member that asks.
    pub member: MemberId,
    /// Time that its open questions take together.
    pub open: Millis,
    delay_ms: f64,
    rests_until: Timestamp,
}

impl Lane {
    /// Begins without open questions.
    pub fn new(member: MemberId) -> Self {
        Self {
            member,
            open: Millis::ZERO,
            delay_ms: 0.0,
            rests_until: Timestamp::default(),
        }
    }

    /// Tells whether the last question had no answer a moment ago.
    pub fn rests(&self, now: Timestamp) -> bool {
        now < self.rests_until
    }

    /// Returns the time in milliseconds after which an answer to a further question is expected, less its cost.
    pub fn expected_delay_ms(&self) -> f64 {
        self.open.get() as f64 + self.delay_ms
    }

    /// Adds a question.
    pub fn begin(&mut self, cost: Millis) {
        self.open = self.open.saturating_add(cost);
    }

    /// Notes that a question was answered after `took`.
    pub fn answered(&mut self, cost: Millis, took: Millis) {
        self.open = self.open.saturating_sub(cost);
        let delay = took.saturating_sub(cost).get() as f64;
        self.delay_ms += (delay - self.delay_ms) * DELAY_WEIGHT;
    }

    /// Notes that a question had no answer.
    pub fn failed(&mut self, cost: Millis, now: Timestamp) {
        self.open = self.open.saturating_sub(cost);
        self.rests_until = now.after(REST);
    }
}
