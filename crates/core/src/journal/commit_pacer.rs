use crate::unit::{Millis, Rate, Timestamp};

/// Maximum factor by which the commit interval grows when the store is overloaded.
const MAX_SLOWDOWN: u64 = 64;

/// Rate limiter that spaces the commits of each shard, so that all shards of a process together stay within a budget.
///
/// The interval doubles when the store refuses a write or is slow, and shrinks by one sixteenth with each fast write.
#[derive(Debug)]
pub struct CommitPacer {
    budget: Rate,
    slow_write: Millis,
    shards: u64,
    slowdown_sixteenths: u64,
}

impl CommitPacer {
    /// Creates a pacer for one shard. A write that takes `slow_write` or longer counts as a sign of overload.
    pub fn new(budget: Rate, slow_write: Millis) -> Self {
        Self {
            budget,
            slow_write,
            shards: 1,
            slowdown_sixteenths: 16,
        }
    }

    /// Sets the number of shards that share the budget.
    pub fn set_shards(&mut self, shards: usize) {
        self.shards = (shards as u64).max(1);
    }

    /// Returns the interval between two writes of one shard.
    pub fn interval(&self) -> Millis {
        let budget = self.budget.get().max(1);
        let base = (self.shards.saturating_mul(1_000_000)).div_ceil(budget);
        Millis::new(base.saturating_mul(self.slowdown_sixteenths) / 16)
    }

    /// Returns when a shard that last wrote at `last` may write again.
    pub fn next_at(&self, last: Timestamp) -> Timestamp {
        last.after(self.interval())
    }

    /// Records a write that took `latency`.
    pub fn on_written(&mut self, latency: Millis) {
        if latency >= self.slow_write {
            return self.on_refused();
        }
        self.slowdown_sixteenths =
            (self.slowdown_sixteenths - self.slowdown_sixteenths / 16).max(16);
    }

    /// Records a write that the store refused.
    pub fn on_refused(&mut self) {
        self.slowdown_sixteenths = (self.slowdown_sixteenths * 2).min(16 * MAX_SLOWDOWN);
    }
}
