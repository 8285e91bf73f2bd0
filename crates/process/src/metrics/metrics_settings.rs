use serde::Deserialize;

use crate::settings::{Address, Checked, Problems};

/// Metrics settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// UDP address of statsd; if `None`, metrics are only served at `GET /metrics`.
    pub statsd: Option<Address>,
    /// Prefix of the metric names sent to statsd.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: "lagoon".to_owned(),
        }
    }
}

impl Checked for MetricsSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(!self.prefix.is_empty(), "prefix", "a name such as lagoon");
    }
}
