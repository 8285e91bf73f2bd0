use lagoon_process::settings::Address;
use serde::Deserialize;

/// Addresses that a node listens on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Calls of callers.
    pub callers: Address,
    /// The platform's question whether the node takes calls.
    pub readiness: Address,
    /// Calls of other nodes.
    pub peers: Address,
    /// Metrics.
    pub metrics: Address,
}
