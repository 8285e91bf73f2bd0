use lagoon_core::id::CallerId;
use lagoon_process::Token;
use serde::Deserialize;

/// An operator and the token that identifies them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the operator in the audit trail.
    pub operator: CallerId,
    /// Secret that the operator sends as a bearer token.
    pub token: Token,
}
