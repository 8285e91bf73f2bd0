use lagoon_process::settings::Address;
use serde::Deserialize;

/// Addresses that a node listens on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenSettings {
    /// Calls of callers.
    pub(crate) callers: Address,
    /// The platform's question whether the node takes calls.
    pub(crate) readiness: Address,
    /// Calls of other nodes.
    pub(crate) peers: Address,
    /// Metrics.
    pub(crate) metrics: Address,
}
