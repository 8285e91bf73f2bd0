use lagoon_core::id::FailureDomain;
use lagoon_core::unit::{Bytes, Millis};
use lagoon_jobs::id::MemberId;
use lagoon_process::logging::LogSettings;
use lagoon_process::settings::{Address, Checked, Problems, text};
use serde::Deserialize;

use crate::node::MAX_CALLER_BODY;
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
    /// Maximum number of open connections of callers.
    #[serde(default = "default_max_connections")]
    pub(crate) max_connections: u32,
    /// Memory for the heads and bodies of all requests of callers.
    #[serde(default = "default_request_memory", deserialize_with = "text")]
    pub(crate) request_memory: Bytes,
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
        problems.require(
            self.max_connections > 0,
            "max_connections",
            "more than zero",
        );
        problems.require(
            self.request_memory >= MAX_CALLER_BODY,
            "request_memory",
            "at least 256KiB, the largest body of a caller",
        );
        problems.check_nested("log", &self.log);
    }
}

const fn default_max_connections() -> u32 {
    1_500
}

const fn default_request_memory() -> Bytes {
    Bytes::new(8 << 20)
}
