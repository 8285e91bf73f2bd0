//! Counters and gauges. They are counted in the process and sent to statsd once a second as differences, so that the
//! cost of a count does not depend on the network.

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

/// Cheap handle to the metrics of a process.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    counters: Arc<Counters>,
    histograms: Arc<Histograms>,
}

impl Metrics {
    /// Starts sending to statsd if the settings name an address; needs a running tokio runtime in that case.
    ///
    /// # Errors
    ///
    /// When no UDP socket can be opened.
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

    /// Adds a duration: `total` sums milliseconds, `count` counts the calls.
    pub fn time(&self, count: &'static str, total: &'static str, time: Millis) {
        self.counters.add(count, 1);
        self.counters.add(total, time.get());
    }

    /// Adds a latency to a histogram. One series for each `outcome`.
    pub fn observe(&self, name: &'static str, outcome: &'static str, time: Millis) {
        self.histograms.observe(name, outcome, time);
    }

    /// Returns everything in the text form that common collectors read.
    pub fn text(&self) -> String {
        text::render(&self.counters.collect(), &self.histograms.collect())
    }

    /// Serves [`Self::text`] at `GET /metrics`.
    pub fn text_router(&self) -> Router {
        let metrics = self.clone();
        let answer = move || async move {
            let content_type = [(CONTENT_TYPE, "text/plain; version=0.0.4")];
            (content_type, metrics.text())
        };
        Router::new().route("/metrics", get(answer))
    }

    /// Returns every counter and gauge.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.counters.snapshot()
    }

    /// Serves the snapshot as JSON at `GET /metrics`.
    pub fn router(&self) -> Router {
        let metrics = self.clone();
        let answer = move || async move { Json(metrics.snapshot()) };
        Router::new().route("/metrics", get(answer))
    }
}
