use lagoon_core::id::{CallerId, TeamId};
use lagoon_process::Token;
use serde::Deserialize;

/// A caller, its token and the teams whose work it may see and submit.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenSettings {
    /// Name of the caller in logs.
    pub caller: CallerId,
    /// Secret that the caller sends as a bearer token.
    pub token: Token,
    /// Teams of the caller.
    pub teams: Vec<TeamId>,
}
