use serde::Deserialize;

use crate::settings::{Address, Checked, Problems};

/// Settings of the metrics.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// UDP address of statsd; without one, metrics stay in the process.
    pub statsd: Option<Address>,
    /// First part of each metric's name.
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
