use lagoon_core::id::FailureDomain;
use lagoon_core::unit::Millis;
use lagoon_jobs::id::MemberId;
use lagoon_process::logging::LogSettings;
use lagoon_process::settings::{Address, Checked, Problems, text};
use serde::Deserialize;

use crate::settings::{LimitSettings, ListenSettings};

/// Settings of a node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the host within the cell.
    #[serde(deserialize_with = "text")]
    pub member: MemberId,
    /// Failure domain of the host.
    #[serde(deserialize_with = "text")]
    pub failure_domain: FailureDomain,
    /// CPU share of the host in cores; the strongest host is preferred as owner.
    pub strength: f64,
    /// Addresses to listen on.
    pub(crate) listen: ListenSettings,
    /// Address of the store.
    pub store: Address,
    /// Address of the placement adviser.
    pub adviser: Address,
    /// Times that the platform prescribes.
    pub(crate) limits: LimitSettings,
    /// Format and level of the log.
    #[serde(default)]
    pub log: LogSettings,
}

impl Checked for NodeSettings {
    fn check(&self, problems: &mut Problems) {
        let positive = |time: Millis| time > Millis::ZERO;
        problems.require(self.strength > 0.0, "strength", "a number of cores above 0");
        problems.require(
            positive(self.limits.max_lease),
            "limits.max_lease",
            "a time above 0",
        );
        problems.require(
            positive(self.limits.grace),
            "limits.grace",
            "a time above 0",
        );
        problems.check_nested("log", &self.log);
    }
}
