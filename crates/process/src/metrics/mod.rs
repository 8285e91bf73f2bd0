//! Counters, gauges and latency histograms. They are aggregated in the process; counters and gauges are sent to statsd
//! once a second, counters as deltas, so that the cost of an update does not depend on the network.

mod counters;
mod histogram;
mod histograms;
mod metrics_settings;
mod statsd;
mod text;

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::http::header::CONTENT_TYPE;
use axum::routing::get;
use axum::{Json, Router};
use lagoon_core::unit::Millis;

pub use self::metrics_settings::MetricsSettings;
use self::{counters::Counters, histograms::Histograms, statsd::Statsd};
use crate::RunError;

/// Handle to the metrics of a process; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    counters: Arc<Counters>,
    histograms: Arc<Histograms>,
}

impl Metrics {
    /// Creates the metrics of a process and starts sending to statsd if an address is set, which requires a running
    /// tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket can't be opened.
    pub fn start(settings: &MetricsSettings) -> Result<Self, RunError> {
        let metrics = Self::default();
        if let Some(address) = settings.statsd {
            let statsd = Statsd::open(address, &settings.prefix)?;
            tokio::spawn(statsd.run(Arc::downgrade(&metrics.counters)));
        }
        Ok(metrics)
    }

    /// Adds `count` to a counter.
    pub fn count(&self, name: &'static str, count: u64) {
        self.counters.add(name, count);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.counters.set(name, value);
    }

    /// Records a duration: adds one to the counter `count` and the milliseconds to the counter `total`.
    pub fn time(&self, count: &'static str, total: &'static str, time: Millis) {
        self.counters.add(count, 1);
        self.counters.add(total, time.get());
    }

    /// Records a latency in the series of a histogram that has this `outcome` label.
    pub fn observe(&self, name: &'static str, outcome: &'static str, time: Millis) {
        self.histograms.observe(name, outcome, time);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        text::render(&self.counters.collect(), &self.histograms.collect())
    }

    /// Returns a router that serves [`Self::text`] at `GET /metrics`.
    pub fn text_router(&self) -> Router {
        let metrics = self.clone();
        let answer = move || async move {
            let content_type = [(CONTENT_TYPE, "text/plain; version=0.0.4")];
            (content_type, metrics.text())
        };
        Router::new().route("/metrics", get(answer))
    }

    /// Returns all counters and gauges.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.counters.snapshot()
    }

    /// Returns a router that serves [`Self::snapshot`] as JSON at `GET /metrics`.
    pub fn router(&self) -> Router {
        let metrics = self.clone();
        let answer = move || async move { Json(metrics.snapshot()) };
        Router::new().route("/metrics", get(answer))
    }
}
