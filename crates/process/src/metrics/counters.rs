use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, PoisonError};

const SHARDS: usize = 16;

/// Counters and gauges by name, in shards under their own locks, so that updates of different metrics rarely contend.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    shards: [Mutex<HashMap<&'static str, MetricValue>>; SHARDS],
    hasher: RandomState,
}

/// Sum of a counter or last value of a gauge.
#[derive(Debug, Clone, Copy, Default)]
struct MetricValue {
    amount: u64,
    is_gauge: bool,
}

impl Counters {
    pub(crate) fn add(&self, name: &'static str, count: u64) {
        self.update(name, |value| {
            value.amount = value.amount.saturating_add(count)
        });
    }

    pub(crate) fn set(&self, name: &'static str, amount: u64) {
        self.update(name, |value| {
            *value = MetricValue {
                amount,
                is_gauge: true,
            };
        });
    }

    pub(crate) fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        let all = self.collect();
        all.into_iter()
            .map(|(name, (amount, _))| (name, amount))
            .collect()
    }

    /// Returns each value with true for a gauge and false for a counter.
    pub(crate) fn collect(&self) -> BTreeMap<&'static str, (u64, bool)> {
        let mut all = BTreeMap::new();
        for shard in &self.shards {
            let values = shard.lock().unwrap_or_else(PoisonError::into_inner);
            all.extend(
                values
                    .iter()
                    .map(|(name, v)| (*name, (v.amount, v.is_gauge))),
            );
        }
        all
    }

    fn update(&self, name: &'static str, change: impl FnOnce(&mut MetricValue)) {
        let shard = &self.shards[self.hasher.hash_one(name) as usize % SHARDS];
        let mut values = shard.lock().unwrap_or_else(PoisonError::into_inner);
        change(values.entry(name).or_default());
    }
}
