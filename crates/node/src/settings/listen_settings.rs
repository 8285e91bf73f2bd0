use lagoon_process::settings::Address;
use serde::Deserialize;

/// Addresses that a node listens on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenSettings {
    /// Address for callers.
    pub(crate) callers: Address,
    /// Address for the platform's readiness checks.
    pub(crate) readiness: Address,
    /// Address for calls of other nodes.
    pub(crate) peers: Address,
    /// Address for metrics and for operators.
    pub(crate) metrics: Address,
}
