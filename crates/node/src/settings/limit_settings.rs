use lagoon_core::unit::Millis;
use lagoon_process::settings::text;
use serde::Deserialize;

/// Times that the platform prescribes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LimitSettings {
    /// Longest lease that an executor accepts.
    #[serde(deserialize_with = "text")]
    pub(crate) max_lease: Millis,
    /// Retention of final states.
    #[serde(deserialize_with = "text")]
    pub(crate) retention: Millis,
    /// Time from the signal to stop until the process is killed.
    #[serde(deserialize_with = "text")]
    pub(crate) grace: Millis,
    /// Shortest lease that the store grants.
    #[serde(deserialize_with = "text")]
    pub(crate) min_store_lease: Millis,
}
