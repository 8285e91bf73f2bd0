use serde::{Deserialize, Serialize};

/// State of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Takes work.
    Live,
    /// Will be removed and takes no new work.
    Leaving,
}
