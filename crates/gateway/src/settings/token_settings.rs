use lagoon_core::id::{CallerId, TeamId};
use lagoon_process::Token;
use serde::Deserialize;

/// A caller with its token and teams.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// Name of the caller in logs.
    pub caller: CallerId,
    /// Bearer token of the caller.
    pub token: Token,
    /// Teams whose work the caller may see and submit.
    pub teams: Vec<TeamId>,
}
