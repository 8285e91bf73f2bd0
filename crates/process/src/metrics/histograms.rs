use std::collections::BTreeMap;

use lagoon_core::unit::Millis;

use crate::Sharded;
use crate::metrics::histogram::Histogram;

/// Metric name and outcome label of a series.
pub(crate) type Series = (&'static str, &'static str);

/// Latency histograms by series.
#[derive(Debug, Default)]
pub(crate) struct Histograms(Sharded<Series, Histogram>);

impl Histograms {
    pub(crate) fn observe(&self, name: &'static str, outcome: &'static str, time: Millis) {
        let series = (name, outcome);
        self.0.with(&series, |shard| {
            shard.entry(series).or_default().observe(time)
        });
    }

    pub(crate) fn collect(&self) -> BTreeMap<Series, Histogram> {
        let mut all = BTreeMap::new();
        self.0
            .for_each_shard(|shard| all.extend(shard.iter().map(|(k, v)| (*k, *v))));
        all
    }
}
