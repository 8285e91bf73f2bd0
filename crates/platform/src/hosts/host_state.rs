use serde::{Deserialize, Serialize};

/// State of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Accepts new work.
    Live,
    /// About to be removed; accepts no new work.
    Leaving,
}
