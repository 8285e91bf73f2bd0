use lagoon_core::unit::Millis;
use lagoon_process::settings::{Checked, Problems, text};
use serde::Deserialize;

/// Durations of worker leases.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Time to live of a lease on a worker.
    #[serde(deserialize_with = "text")]
    pub ttl: Millis,
    /// Time after which a worker stops the tasks of a shard if nobody renews them.
    #[serde(deserialize_with = "text")]
    pub task_ttl: Millis,
    /// Time before its expiry at which a lease counts as expired, to cover the time until a command arrives.
    #[serde(deserialize_with = "text")]
    pub margin: Millis,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            ttl: Millis::new(2_000),
            task_ttl: Millis::new(60_000),
            margin: Millis::new(200),
        }
    }
}

impl Checked for LeaseSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(self.ttl.get() >= 100, "ttl", "at least 100ms");
        problems.require(self.task_ttl > self.ttl, "task_ttl", "more than ttl");
        let half = Millis::new(self.ttl.get() / 2);
        problems.require(self.margin < half, "margin", "less than half of ttl");
    }
}
