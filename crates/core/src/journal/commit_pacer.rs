use crate::unit::{Millis, Rate, Timestamp};

/// Largest factor by which a struggling store slows the commits.
const MAX_SLOWDOWN: u64 = 64;

/// Wait between the commits of each shard, so that all shards of a process together stay within a budget.
///
/// The wait doubles when the store refuses a write or is slow, and shrinks by a sixteenth with each good write.
#[derive(Debug)]
pub struct CommitPacer {
    budget: Rate,
    slow: Millis,
    shards: u64,
    // Slowdown in sixteenths.
    slowdown: u64,
}

impl CommitPacer {
    /// Spreads `budget`; a write that takes `slow` or longer counts as a sign of overload.
    pub fn new(budget: Rate, slow: Millis) -> Self {
        Self {
            budget,
            slow,
            shards: 1,
            slowdown: 16,
        }
    }

    /// Sets the number of shards that share the budget.
    pub fn set_shards(&mut self, shards: usize) {
        self.shards = (shards as u64).max(1);
    }

    /// Returns the wait between two writes of one shard.
    pub fn interval(&self) -> Millis {
        let budget = self.budget.get().max(1);
        let base = (self.shards.saturating_mul(1_000_000)).div_ceil(budget);
        Millis::new(base.saturating_mul(self.slowdown) / 16)
    }

    /// Returns when a shard that last wrote at `last` may write again.
    pub fn next_at(&self, last: Timestamp) -> Timestamp {
        last.after(self.interval())
    }

    /// Notes a write that took `latency`.
    pub fn on_written(&mut self, latency: Millis) {
        if latency >= self.slow {
            return self.on_refused();
        }
        self.slowdown = (self.slowdown - self.slowdown / 16).max(16);
    }

    /// Notes a write that the store refused for its rate limit.
    pub fn on_refused(&mut self) {
        self.slowdown = (self.slowdown * 2).min(16 * MAX_SLOWDOWN);
    }
}
